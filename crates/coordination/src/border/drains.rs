//! Conversion of drain orders.

use super::{convert_name, from_json, generated};
use crate::{
    drain::{DrainAction, DrainOrder, DrainScope},
    error::NoteError,
};

impl DrainOrder {
    /// Parses the platform's `drains` value.
    ///
    /// # Errors
    ///
    /// Returns the rule that the text breaks, with the line if it is known.
    pub fn parse_list(text: &[u8]) -> Result<Vec<Self>, NoteError> {
        let orders: generated::Drains = from_json(text)?;
        orders.0.into_iter().map(Self::try_from).collect()
    }

    /// Parses a single order.
    ///
    /// # Errors
    ///
    /// Returns the rule that the text breaks, with the line if it is known.
    pub fn parse(text: &[u8]) -> Result<Self, NoteError> {
        from_json::<generated::DrainOrder>(text)?.try_into()
    }
}

impl TryFrom<generated::DrainOrder> for DrainOrder {
    type Error = NoteError;

    fn try_from(order: generated::DrainOrder) -> Result<Self, NoteError> {
        Ok(Self {
            number: order.number.get(),
            scope: order.scope.try_into()?,
            action: order.action.into(),
        })
    }
}

impl TryFrom<generated::DrainScope> for DrainScope {
    type Error = NoteError;

    fn try_from(scope: generated::DrainScope) -> Result<Self, NoteError> {
        Ok(match scope {
            generated::DrainScope::Domain(domain) => {
                Self::Domain(convert_name("failure domain", &domain)?)
            }
            generated::DrainScope::Vm(vm) => Self::Vm(convert_name("VM", &vm)?),
        })
    }
}

impl From<generated::DrainAction> for DrainAction {
    fn from(action: generated::DrainAction) -> Self {
        match action {
            generated::DrainAction::Drain => Self::Drain,
            generated::DrainAction::Restore => Self::Restore,
        }
    }
}
