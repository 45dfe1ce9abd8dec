//! How a stream moves to another target while its first still gives it.

use std::task::Context;
use std::task::Poll;

use filbertstack_core::Millis;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::takeover::Observed;
use filbertstack_policy::takeover::Reason;
use filbertstack_policy::takeover::find_reason;
use filbertstack_policy::takeover::min_silence;
use http_body::Frame;
use spdlog::info;
use tokio::time::Instant;

use super::Progress;
use super::Relay;
use super::Source;
use super::pause;
use crate::request::attempt::Resume;
use crate::request::events::EventBuffer;
use crate::request::resume::CHECK_INTERVAL;
use crate::request::resume::can_take_over;
use crate::request::takeover::Began;
use crate::request::takeover::Polled;
use crate::request::takeover::Remaining;
use crate::request::takeover::Takeover;

impl Relay {
    /// Asks another target to take over when the target has been silent for too long.
    pub(super) fn poll_silence(&mut self, cx: &mut Context<'_>) -> Poll<Progress> {
        loop {
            let Some(silence_check) = &mut self.silence_check else {
                return Poll::Pending;
            };
            std::task::ready!(silence_check.as_mut().poll(cx));
            // The target may continue, or another one may become free.
            let check_at = Instant::now() + CHECK_INTERVAL;
            silence_check.as_mut().reset(check_at);
            self.take_over_if_due();
            if self.takeover.is_some() {
                return Poll::Ready(Progress::Again);
            }
        }
    }

    /// Asks another target to take over if there is a reason for it and one could.
    pub(super) fn take_over_if_due(&mut self) {
        let now = Instant::now();
        let passes_all = self.released.is_empty() && !self.has_ended;
        if !self.can_resume() || self.takeover.is_some() || !passes_all || now < self.next_check {
            return;
        }
        let Some(reason) = self.observe().as_ref().and_then(find_reason) else {
            return;
        };
        self.next_check = now + CHECK_INTERVAL;
        if !can_take_over(&self.requests, &self.call, &self.tries) {
            return;
        }
        info!("takeover begins", kv: {
            request = self.call.head.id(), reason = reason.name(),
            silent_ms = self.last_bytes_at.elapsed().as_millis()
        });
        self.takeover = Some(Takeover::begin(
            self.requests.clone(),
            self.call.clone(),
            self.tries.clone(),
            self.resume_point(true),
            reason,
        ));
    }

    fn observe(&self) -> Option<Observed> {
        let targets = self.requests.targets();
        let Source::Target(_, guard) = &self.source else {
            return None;
        };
        let silence = Millis::from(self.last_bytes_at.elapsed());
        let pause = pause(&self.call);
        Some(Observed {
            silence,
            pause,
            // This looks at all targets of the service, which each event need not do.
            unreachable: silence >= min_silence(pause) && targets.is_silent(guard.target()),
            loading: targets.loading_time(guard.target()),
        })
    }

    pub(super) fn resume_point(&self, first_serves: bool) -> Resume {
        Resume {
            after: self.events.as_ref().and_then(EventBuffer::last_id),
            last_bytes_at: self.last_bytes_at,
            first_serves,
        }
    }

    /// Polls the target that is asked to take over. Returns `None` while it has neither begun nor failed.
    pub(super) fn poll_takeover(&mut self, cx: &mut Context<'_>) -> Option<Progress> {
        match self.takeover.take()?.poll(cx) {
            Polled::Pending(takeover) => {
                self.takeover = Some(takeover);
                None
            }
            Polled::Began(began) => Some(self.switch(began)),
            Polled::Failed(failed, held) => {
                info!("takeover failed", kv: { request = self.call.head.id(), why = failed.why });
                self.tries = failed.tries;
                self.released = held;
                Some(Progress::Again)
            }
            Polled::NothingLeft(tries, held) => {
                info!("takeover has nothing left to send", kv: { request = self.call.head.id() });
                self.whole_after = self.events.as_ref().and_then(EventBuffer::last_id);
                self.tries = tries;
                self.released = held;
                Some(Progress::Again)
            }
        }
    }

    /// Lets the first target go: the other gives the answer.
    fn switch(&mut self, began: Began) -> Progress {
        let Began {
            reason,
            resumed,
            events,
            first,
        } = began;
        if let Source::Target(_, guard) = &mut self.source {
            match reason {
                Reason::Silent => guard.fail(),
                Reason::Loading => guard.ended = AttemptEnd::Superseded,
            }
        }
        self.events = Some(events);
        self.adopt(*resumed);
        self.note_passed(&first);
        Progress::Ready(Some(Ok(Frame::data(first))))
    }

    /// Lets the other target go, if there is one: the first gives the answer.
    pub(super) fn keep_first(&mut self) {
        let Some(takeover) = self.takeover.take() else {
            return;
        };
        let (mut held, tries) = takeover.cancel();
        held.append(&mut self.released);
        self.released = held;
        match tries {
            Some(tries) => self.tries = tries,
            // Whether the other target received the request is not known.
            None => self.tries.attempts.count_sent(),
        }
        info!("takeover no longer needed", kv: { request = self.call.head.id() });
    }

    /// Goes on with the target that was asked to take over, after the loss of the first.
    pub(super) fn go_on_with(&mut self, remaining: Remaining) -> Progress {
        match remaining {
            Remaining::Search(search) => {
                if let Some(events) = &mut self.events {
                    events.drop_partial();
                }
                self.source = Source::Resuming(search);
            }
            Remaining::Target(resumed, events) => {
                self.events = Some(events);
                self.adopt(*resumed);
            }
        }
        Progress::Again
    }
}
