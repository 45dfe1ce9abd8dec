//! Orders to load weights whose outcome is not known.

use crate::cluster::wait_until;
use crate::fleet::Fleet;
use crate::model::LATEST;
use crate::model::Model;
use crate::model::PIECES;
use crate::model::piece;

/// An engine that serves version 2 and has left the order to load version 3 without an answer.
fn with_open_order() -> Fleet {
    let fleet = Fleet::start(1);
    fleet.name(2);
    fleet.await_version(2);
    fleet.models[0].state().late_orders = 1;
    fleet.name(3);
    await_open_order(&fleet);
    fleet
}

/// Waits until the engine has left an order without an answer.
fn await_open_order(fleet: &Fleet) {
    wait_until("an order is left without an answer", || {
        fleet.models[0].state().unanswered == 1
    });
}

/// Kills the agent, names a version and starts the agent again, which is to load that alone.
fn start_again_for(fleet: &mut Fleet, version: u64) {
    let agent = fleet.agents[0];
    // It may have been killed before.
    fleet.world.kill(agent);
    fleet.name(version);
    fleet.world.ensure_running(agent);
    fleet.await_version(version);
    assert_eq!(fleet.bad_loads(), 0);
}

/// Callers got tokens that no version of the weights makes. Three versions were named within nine
/// seconds. An engine left its agent's order to load the first without an answer and carried it out
/// four seconds later; the agent had taken it for not carried out and was staging the second over
/// the first, so the engine loaded some of each. The agent had logged `order not taken error="no
/// answer came in time; whether the call was carried out is not known" version=2` and two seconds
/// later `pieces are gathered version=3`; the platform counted that order as the 19th, after ones
/// that had been sent 3.7 s later.
#[test]
fn nothing_is_staged_over_weights_that_an_engine_may_yet_load() {
    let fleet = with_open_order();
    fleet.name(4);
    fleet.await_version(4);
    assert_eq!(fleet.bad_loads(), 0);
}

/// The same, and the agent is killed before it knows the outcome. The one that starts in its place
/// has no record of the order, which the engine still may carry out.
#[test]
fn an_agent_that_starts_again_stages_nothing_over_what_may_yet_be_loaded() {
    let mut fleet = with_open_order();
    start_again_for(&mut fleet, 4);
}

/// The same, and one of the pieces turns bad where it lies while no agent runs. All others show that the
/// version may be ordered; taken for one that was never whole, it gave way to the next.
#[test]
fn an_agent_that_starts_again_knows_an_ordered_version_by_its_other_pieces() {
    let mut fleet = with_open_order();
    fleet.world.kill(fleet.agents[0]);
    fleet.models[0].state().staged.insert(5, b"rot".to_vec());
    start_again_for(&mut fleet, 4);
}

/// An agent is killed while it stages a version over the one before. What lies there is some of each,
/// which was never ordered: the next version is staged at once, and nothing else is loaded before it.
#[test]
fn an_agent_that_starts_again_over_two_versions_brings_the_newest() {
    let mut fleet = Fleet::start(1);
    fleet.name(2);
    fleet.await_version(2);
    fleet.world.kill(fleet.agents[0]);
    for number in 0..PIECES / 2 {
        let bytes = piece(3, number);
        fleet.models[0].state().staged.insert(number, bytes);
    }
    fleet.name(3);
    start_again_for(&mut fleet, 4);
    assert_eq!(fleet.models[0].state().loaded, [2, 4]);
}

/// The same with an engine that is new: the version that it was ordered to load is the first, which
/// nobody names, and no longer wanted when the agent starts again.
#[test]
fn an_agent_that_starts_again_knows_versions_that_are_no_longer_wanted() {
    let mut fleet = Fleet::start(0);
    let model = Model::default();
    model.state().late_orders = 1;
    fleet.add_model(model);
    await_open_order(&fleet);
    start_again_for(&mut fleet, 2);
}

/// Guards against staging over an ordered version that many others followed before all processes
/// were killed.
#[test]
fn an_ordered_version_is_known_however_many_followed_it() {
    let mut fleet = with_open_order();
    for version in 4..=12 {
        fleet.name(version);
    }
    fleet.restart_all();
    fleet.await_version(12);
    assert_eq!(fleet.bad_loads(), 0);
}

/// Guards against staging over an ordered version of which nobody has the list any more.
#[test]
fn an_ordered_version_that_nobody_knows_is_waited_for() {
    let mut fleet = Fleet::start(0);
    let model = Model::default();
    {
        let mut held = model.state();
        held.staged = (0..PIECES).map(|n| (n, piece(5, n))).collect();
        held.latest = Some(LATEST);
        held.leave_order(5);
    }
    fleet.add_model(model);
    fleet.name(6);
    fleet.await_version(6);
    assert_eq!(fleet.bad_loads(), 0);
    assert_eq!(fleet.models[0].state().loaded, [5, 6]);
}

/// Guards against engines that wait for nothing after a restart of all, as the lists of older versions
/// are gone from the origin.
#[test]
fn what_an_engine_serves_is_known_after_all_processes_restarted() {
    let mut fleet = Fleet::start(0);
    for _ in 0..2 {
        let model = Model::default();
        {
            let mut held = model.state();
            held.version = 1;
            held.staged = (0..PIECES).map(|n| (n, piece(1, n))).collect();
        }
        fleet.add_model(model);
    }
    wait_until("the list of the first version is kept", || {
        (0..3).any(|n| fleet.world.has_logged(n, "list of pieces kept"))
    });
    for version in 2..=4 {
        fleet.name(version);
    }
    fleet.restart_all();
    fleet.await_version(4);
    assert_eq!(fleet.bad_loads(), 0);
    for agent in fleet.agents {
        assert!(!fleet.world.has_logged(agent, "pieces of no known version"));
    }
}

/// An engine loses its power right after its agent has read all pieces back, and starts again with
/// nothing staged. The order, repeated on a new connection, reached the new start, which loaded
/// what was not there. An order belongs to the start at which the pieces were read.
#[test]
fn an_order_does_not_reach_another_start_than_the_pieces_were_read_at() {
    let fleet = Fleet::start(1);
    fleet.name(2);
    fleet.await_version(2);
    // Once before the engine stops taking requests, and once right before the order.
    fleet.models[0].state().restarts_after = Some(2);
    fleet.name(3);
    fleet.await_version(3);
    assert_eq!(fleet.bad_loads(), 0);
}

/// Callers would get tokens that no version of the weights makes. An engine leaves the put of a piece
/// without an answer; the agent puts it again, and the engine loads that version. The next version is
/// staged and read back whole, and the first copy of the put is carried out seconds after it was sent,
/// between the last reading and the moment at which the engine begins the order.
#[test]
fn a_piece_that_is_put_late_gets_into_no_other_version() {
    let fleet = Fleet::start(1);
    fleet.name(2);
    fleet.await_version(2);
    fleet.models[0].state().late_puts = 1;
    fleet.name(3);
    fleet.await_version(3);
    fleet.name(4);
    fleet.await_version(4);
    assert_eq!(fleet.bad_loads(), 0);
}

/// Guards against answers of two versions: a piece that a killed agent had put without an answer gets into
/// the version that the agent in its place has loaded.
#[test]
fn an_engine_that_loaded_a_piece_put_before_a_kill_is_not_used() {
    let mut fleet = Fleet::start(1);
    fleet.name(2);
    fleet.await_version(2);
    fleet.await_answer(200);
    fleet.models[0].state().late_puts = 1;
    fleet.name(3);
    wait_until("a put is left without an answer", || {
        fleet.models[0].state().late_puts == 0
    });
    let agent = fleet.agents[0];
    fleet.world.kill(agent);
    fleet.name(4);
    fleet.world.ensure_running(agent);
    fleet.await_version(4);
    assert_eq!(fleet.bad_loads(), 1);
    wait_until("the agent knows", || {
        fleet.world.has_logged(agent, "pieces of two versions")
    });
    fleet.await_answer(503);
    fleet.name(5);
    fleet.await_version(5);
    fleet.await_answer(200);
    assert_eq!(fleet.bad_loads(), 1);
}
