//! Shares what entries observe of targets and requests, over the voters.
//!
//! Each entry tells the voter that it follows. Voters tell each other and their followers what is new, and
//! a new follower everything. Reports are merged in any order and any number of times, so that a lost or
//! repeated message does no harm.

use std::rc::Rc;
use std::time::Duration;

use filbertstack_core::Millis;
use tokio::time::sleep;

use crate::control::node::Node;
use crate::link::Sender;
use crate::link::messages::Interest;
use crate::link::messages::Notification;

/// How often a node tells others what has changed. Over two voters, every entry knows a change within a
/// fifth of a second, in which a request that is repeated ten times a second crashes two more targets.
const TELL_INTERVAL: Duration = Duration::from_millis(50);

/// The span in which an entry repeats what it told its voter, as a link may break with what was sent.
const RETELL_SPAN: Millis = Millis(300);

impl Node {
    /// Tells a peer with this interest everything that was observed.
    pub fn tell_observations(&self, link: &Sender, interest: Interest) {
        for news in self.observations_since(Millis::ZERO, interest) {
            link.tell(news);
        }
    }

    /// Returns the changes since `since` for a peer with this interest.
    fn observations_since(&self, since: Millis, interest: Interest) -> Vec<Notification> {
        let crashes = self.crashes_since(since, interest);
        let limits = self.limits_since(since, interest);
        crashes.into_iter().chain(limits).collect()
    }

    /// Tells others what has changed: the followers, from `told_at` on, if this node is a voter, else the
    /// voter that it follows.
    fn tell_changes(&self, now: Millis, told_at: Millis) {
        if self.voter.is_some() {
            for interest in [Interest::All, Interest::Registered] {
                for news in self.observations_since(told_at, interest) {
                    let to = |other| (other == interest).then(|| news.clone());
                    self.registry.notify(to);
                }
            }
            return;
        }
        let Some(voter) = self.followed() else {
            return;
        };
        for news in self.observations_since(now - RETELL_SPAN, Interest::Registered) {
            self.dialer.tell(voter, news);
        }
    }
}

/// Tells others what this process observes, until it ends.
pub async fn share_observations(node: Rc<Node>) {
    let mut told_at = Millis::ZERO;
    loop {
        sleep(TELL_INTERVAL).await;
        let now = node.clock.now();
        node.update_crashes();
        node.update_limits();
        node.tell_changes(now, told_at);
        told_at = now;
    }
}
