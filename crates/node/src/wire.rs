//! Messages between nodes, encoded with `bincode`.

mod call;
mod control;
mod fence;
mod quota;

pub(crate) use self::call::{
    CallHead, CallStage, Load, Outcome, Refusal, RefusalReason, ReplyHead,
};
pub(crate) use self::control::ControlFrame;
pub(crate) use self::fence::{FenceKeys, FenceReply, FenceRequest};
pub(crate) use self::quota::{QuotaReplyFrame, QuotaRequestFrame};
