//! Self-contained HTML page with plots of results.

mod chart;
mod page;
mod record;

pub(crate) use self::{
    chart::{Chart, Line},
    page::Page,
    record::Record,
};

#[cfg(test)]
mod tests;
