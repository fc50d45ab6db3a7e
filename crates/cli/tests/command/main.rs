//! Runs the command against stand-ins of the nodes' admin interface.

mod nodes;
mod notes;
mod run;
mod stub;
