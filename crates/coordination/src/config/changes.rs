//! Application of one kind of changes to the things in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{error::NoteError, named::Named, note::Changes, rule::Rule};

/// Applies the changes of one kind; what is left after an error is of no use.
///
/// # Errors
///
/// Returns the first rule that the changes break.
pub(crate) fn apply_changes<S: Named>(
    things: &mut BTreeMap<S::Name, Arc<S>>,
    changes: &Changes<S, S::Name>,
) -> Result<(), NoteError> {
    let mut touched = BTreeSet::new();
    for name in &changes.withdraw {
        touch::<S>(&mut touched, name)?;
        things.remove(name).ok_or_else(|| unknown::<S>(name))?;
    }
    for thing in &changes.change {
        let name = thing.name();
        touch::<S>(&mut touched, name)?;
        let known = things.get_mut(name).ok_or_else(|| unknown::<S>(name))?;
        *known = Arc::clone(thing);
    }
    for thing in &changes.add {
        let name = thing.name();
        touch::<S>(&mut touched, name)?;
        if things.insert(name.clone(), Arc::clone(thing)).is_some() {
            return Err(duplicate::<S>(name, "exists already"));
        }
    }
    Ok(())
}

fn touch<'a, S: Named>(
    touched: &mut BTreeSet<&'a S::Name>,
    name: &'a S::Name,
) -> Result<(), NoteError> {
    if touched.insert(name) {
        return Ok(());
    }
    Err(duplicate::<S>(name, "is named twice in the note"))
}

fn duplicate<S: Named>(name: &S::Name, reason: &str) -> NoteError {
    let kind = S::KIND.as_str();
    let reason = format!("{kind} {} {reason}", name.as_ref());
    NoteError::new(Rule::Unique, reason).about(S::KIND, name.as_ref())
}

fn unknown<S: Named>(name: &S::Name) -> NoteError {
    let kind = S::KIND.as_str();
    let reason = format!("{kind} {} does not exist", name.as_ref());
    NoteError::new(Rule::Exists, reason).about(S::KIND, name.as_ref())
}
