//! The size of the messages that tell the demand by rank.

use filbertstack_gateway::link::messages::Body;
use filbertstack_gateway::link::messages::Demand;
use filbertstack_gateway::link::messages::Frame;
use filbertstack_gateway::link::messages::Notification;
use filbertstack_gateway::link::messages::RankDemand;
use filbertstack_gateway::link::messages::ServiceDemand;
use filbertstack_gateway::link::messages::Tell;
use prost::Message as _;

/// The length that precedes a frame.
const PREFIX_BYTES: usize = 4;

const ENTRIES: u32 = 340;

/// The requests of each rank at one entry, in requests per 1,000 s: a third of 680 a second at 340 entries.
const PER_ENTRY: u32 = 667;

const TELLS_PER_S: usize = 2;

/// The most bytes that an entry without a disk may spend on control each second.
const MAX_BYTES_PER_S: usize = 8_000;

/// Returns the bytes of a message on the link: one service with three ranks.
fn frame_bytes(name: &str, entries: u32) -> usize {
    let row = |rank| RankDemand {
        rank,
        returning: PER_ENTRY / 10 * entries,
        new: PER_ENTRY * entries,
        excess: PER_ENTRY / 10 * entries,
    };
    let demand = Demand {
        name: name.into(),
        entries,
        services: vec![ServiceDemand {
            service: "chat-large".into(),
            ranks: (0..3).map(row).collect(),
        }],
    };
    let tell = Tell {
        notification: Some(Notification::Demand(demand)),
    };
    let frame = Frame {
        id: 0,
        body: Some(Body::Tell(tell)),
    };
    PREFIX_BYTES + frame.encoded_len()
}

/// Guards against messages that take a large part of what a small instance may spend on control.
#[test]
fn demand_takes_few_bytes() {
    let report = frame_bytes("entry-i-0123456789", 1);
    let total = frame_bytes("", ENTRIES);
    let entry = (report + total) * TELLS_PER_S;
    let voters = |voters: usize| {
        let followers = (ENTRIES as usize).div_ceil(voters) - 1;
        let sum = frame_bytes("entry-i-0123456789", ENTRIES / 3);
        (followers * (report + total) + 2 * (voters - 1) * sum) * TELLS_PER_S
    };
    println!(
        "report {report} B, total {total} B; entry {entry} B/s, one of 3 voters {} B/s, one of 8 {} B/s",
        voters(3),
        voters(8)
    );
    assert!(report < 100 && total < 100, "{report} {total}");
    assert!(entry < MAX_BYTES_PER_S / 16, "{entry}");
}
