//! Applies the changes of a note to one kind of resource.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{error::NoteError, named::Named, note::Changes, rule::Rule};

/// Applies the changes to one kind of resource; after an error, `resources` is partly changed and
/// must be discarded.
///
/// # Errors
///
/// Returns the first rule that the changes break.
pub(crate) fn apply_changes<S: Named>(
    resources: &mut BTreeMap<S::Name, Arc<S>>,
    changes: &Changes<S, S::Name>,
) -> Result<(), NoteError> {
    let mut seen = BTreeSet::new();
    for name in &changes.withdraw {
        check_unique::<S>(&mut seen, name)?;
        resources
            .remove(name)
            .ok_or_else(|| missing_error::<S>(name))?;
    }
    for resource in &changes.change {
        let name = resource.name();
        check_unique::<S>(&mut seen, name)?;
        let existing = resources
            .get_mut(name)
            .ok_or_else(|| missing_error::<S>(name))?;
        *existing = Arc::clone(resource);
    }
    for resource in &changes.add {
        let name = resource.name();
        check_unique::<S>(&mut seen, name)?;
        if resources
            .insert(name.clone(), Arc::clone(resource))
            .is_some()
        {
            return Err(duplicate_error::<S>(name, "already exists"));
        }
    }
    Ok(())
}

fn check_unique<'a, S: Named>(
    seen: &mut BTreeSet<&'a S::Name>,
    name: &'a S::Name,
) -> Result<(), NoteError> {
    if seen.insert(name) {
        return Ok(());
    }
    Err(duplicate_error::<S>(name, "is named twice in the note"))
}

fn duplicate_error<S: Named>(name: &S::Name, reason: &str) -> NoteError {
    let kind = S::KIND.as_str();
    let reason = format!("{kind} {} {reason}", name.as_ref());
    NoteError::new(Rule::Unique, reason).with_subject(S::KIND, name.as_ref())
}

fn missing_error<S: Named>(name: &S::Name) -> NoteError {
    let kind = S::KIND.as_str();
    let reason = format!("{kind} {} does not exist", name.as_ref());
    NoteError::new(Rule::Exists, reason).with_subject(S::KIND, name.as_ref())
}
