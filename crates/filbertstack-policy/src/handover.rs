//! This module decides how a target whose weights may be replaced shows that it reads a request, before it gets the end
//! of it.
//!
//! *Load pattern*: a target stands still while requests for it keep coming, its machine gives it no processor, or a link
//! keeps bytes for seconds. A time limit is a length of time, which the target counts from the moment at which it reads the
//! request. What it reads after the bound of its weights begins then, whatever limit it was told, and closing the
//! connection takes back no byte that has arrived. Each entry learns of the silence after the fact, and has sent about one
//! request by then. A newer version may be named while the target stands still, so that this holds of all versions.
//!
//! A request that has not arrived whole does not begin. An entry therefore sends the head alone, and the body once the
//! target has shown that it reads: by the interim answer that the head asks for, or, where a target gives none, by its answer
//! to another call. The time between head and sign also bounds how much later than the entry the target counts its limit.
//!
//! Decisions depend only on what is passed in. They use no clock, network or thread.

use filbertstack_core::Millis;

/// The time within which a target must show that it reads. It is half of the margin for the transfer of a request: the body
/// may take as long as the head did.
const SIGN_TIME: Millis = Millis(200);

/// How long an entry waits for an interim answer before it makes another call, if the target must show in a short time that
/// it reads. An interim answer comes within a round trip, some milliseconds in a region.
const INTERIM_TIME: Millis = Millis(60);

/// The same if the target has more time. A round trip between regions takes less.
const LONG_INTERIM_TIME: Millis = Millis(200);

/// What an entry knows of the weights of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// It has none that versions replace.
    Unversioned,
    /// It has the newest version that the entry knows.
    Newest,
    /// A newer version replaces them.
    Replaced,
}

/// How a target shows that it reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sign {
    /// It is expected to send an interim answer, or has done so.
    #[default]
    Interim,
    /// It answered a call before it sent an interim answer.
    CallFirst,
    /// It refuses requests whose sender waits for an interim answer, but answers calls.
    Call,
}

/// How an entry hands a request over to a target that must show that it reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handover {
    /// Whether the head of the request asks for an interim answer.
    pub interim: bool,
    /// When the target is called besides.
    pub call_after: Millis,
    /// When the request is given up; `None` if it waits as one that its target has, until another target may get it.
    pub give_up: Option<Millis>,
}

/// Returns how a request is handed over to a target; `None` if it is sent at once, as no version replaces the target's
/// weights. `has_body` says whether the request has a body: without one, its head is the whole request.
pub fn handover(weights: Weights, sign: Sign, has_body: bool) -> Option<Handover> {
    let (interim_time, give_up) = match weights {
        Weights::Unversioned => return None,
        Weights::Newest => (LONG_INTERIM_TIME, None),
        Weights::Replaced => (INTERIM_TIME, Some(SIGN_TIME)),
    };
    let interim = has_body && sign != Sign::Call;
    Some(Handover {
        interim,
        call_after: if interim && sign == Sign::Interim {
            interim_time
        } else {
            Millis::ZERO
        },
        give_up,
    })
}
