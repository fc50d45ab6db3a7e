//! Conversion of the VM list.

use std::{collections::BTreeSet, sync::Arc};

use super::{convert_name, from_json, generated};
use crate::{
    error::NoteError,
    rule::Rule,
    vm::{ListedUpstream, VmEntry, VmList, VmState},
};

impl VmList {
    /// Parses the platform's `vms` value.
    ///
    /// # Errors
    ///
    /// Returns the rule that the text breaks, with the line if it is known.
    pub fn parse(text: &[u8]) -> Result<Self, NoteError> {
        from_json::<generated::Vms>(text)?.try_into()
    }
}

impl TryFrom<generated::Vms> for VmList {
    type Error = NoteError;

    fn try_from(list: generated::Vms) -> Result<Self, NoteError> {
        let mut names = BTreeSet::new();
        let mut vms = Vec::with_capacity(list.vms.len());
        for vm in list.vms {
            let entry = VmEntry::try_from(vm)?;
            if !names.insert(entry.vm.clone()) {
                let reason = format!("VM {} is listed twice", entry.vm);
                return Err(NoteError::new(Rule::Unique, reason));
            }
            vms.push(Arc::new(entry));
        }
        Ok(Self {
            number: list.number,
            vms,
        })
    }
}

impl TryFrom<generated::Vm> for VmEntry {
    type Error = NoteError;

    fn try_from(vm: generated::Vm) -> Result<Self, NoteError> {
        Ok(Self {
            vm: convert_name("VM", &vm.vm)?,
            domain: convert_name("failure domain", &vm.domain)?,
            region: convert_name("region", &vm.region)?,
            address: vm.address,
            state: vm.state.unwrap_or_default().into(),
            upstreams: convert_upstreams(&vm.upstreams)?,
        })
    }
}

fn convert_upstreams(
    upstreams: &[generated::ListedUpstream],
) -> Result<Vec<ListedUpstream>, NoteError> {
    let converted = upstreams.iter().map(|upstream| {
        Ok(ListedUpstream {
            name: convert_name("upstream", &upstream.name)?,
            service: convert_name("service", &upstream.service)?,
            address: upstream.address,
            slots: upstream.slots.get(),
            started: upstream.started,
            cold_ms: upstream.cold_ms,
        })
    });
    converted.collect()
}

impl From<generated::VmState> for VmState {
    fn from(state: generated::VmState) -> Self {
        match state {
            generated::VmState::Live => Self::Live,
            generated::VmState::Leaving => Self::Leaving,
        }
    }
}
