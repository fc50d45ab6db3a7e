//! Messages between nodes, encoded with `bincode`.

mod call;
mod control;
mod fence;

pub(crate) use self::call::{
    CallHead, CallStage, Load, Outcome, Refusal, RefusalReason, ReplyHead,
};
pub(crate) use self::control::ControlFrame;
pub(crate) use self::fence::{FenceKeys, FenceReply, FenceRequest};
