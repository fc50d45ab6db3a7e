//! Messages between nodes, encoded with `bincode`.

mod call;

pub(crate) use self::call::{
    CallHead, CallStage, Load, Outcome, Refusal, RefusalReason, ReplyHead,
};
