//! Messages of the quotas of organisations.
//!
//! On a `/quota` stream, a node sends one [`QuotaRequestFrame`] to a shard owner and receives one
//! [`QuotaReplyFrame`]. A node that does not own the shard ends the stream without a reply.

use bincode::serde::Compat;
use wagtaillever_coordination::{QuotaReply, QuotaRequest};

/// Request for grants of the organisations of one shard.
pub(crate) type QuotaRequestFrame = Compat<QuotaRequest>;

/// Grants for a request.
pub(crate) type QuotaReplyFrame = Compat<QuotaReply>;
