//! Tests orders to load weights whose outcome is unknown.

use std::time::Duration;
use std::time::Instant;

use crate::cluster::exchange;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::fleet::Fleet;
use crate::model::LATE_LIMIT;
use crate::model::Model;
use crate::model::PIECES;
use crate::model::piece;

/// Starts an engine that serves version 2 and has left the order to load version 3 without an answer.
fn with_pending_order() -> Fleet {
    let fleet = Fleet::start(1);
    fleet.name_version(2);
    fleet.await_version(2);
    fleet.models[0].state().late_orders = 1;
    fleet.name_version(3);
    await_pending_order(&fleet);
    fleet
}

/// Waits until the engine has left an order without an answer.
fn await_pending_order(fleet: &Fleet) {
    wait_until("an order is left without an answer", || {
        fleet.models[0].state().unanswered == 1
    });
}

/// Kills the agent, names a version and restarts the agent, which must load that version alone.
fn restart_agent_for(fleet: &mut Fleet, version: u64) {
    let agent = fleet.agents[0];
    // The agent may have been killed before.
    fleet.cluster.kill(agent);
    fleet.name_version(version);
    fleet.cluster.ensure_running(agent);
    fleet.await_version(version);
    assert_eq!(fleet.bad_loads(), 0);
}

/// Guards against tokens that no version of the weights makes. Three versions are named within nine seconds.
/// An engine leaves the order to load the first without an answer and carries it out four seconds later,
/// which may be after later orders. An agent that takes such an order for not carried out stages the second
/// version over the first, and the engine loads pieces of both.
#[test]
fn no_version_is_staged_over_weights_with_a_pending_order() {
    let fleet = with_pending_order();
    fleet.name_version(4);
    fleet.await_version(4);
    assert_eq!(fleet.bad_loads(), 0);
}

/// An agent is killed while an order to its engine is pending. The one that starts in its place has no record
/// of the order, which the engine may still carry out.
#[test]
fn a_restarted_agent_stages_nothing_over_weights_with_a_pending_order() {
    let mut fleet = with_pending_order();
    restart_agent_for(&mut fleet, 4);
}

/// An agent is killed while an order to its engine is pending, and one of the staged pieces becomes corrupt
/// while no agent runs. All others show that the version may have been ordered. An agent that takes it for a
/// version that was never complete replaces it by the next.
#[test]
fn a_restarted_agent_recognises_an_ordered_version_with_a_corrupt_piece() {
    let mut fleet = with_pending_order();
    fleet.cluster.kill(fleet.agents[0]);
    fleet.models[0].state().staged.insert(5, b"rot".to_vec());
    restart_agent_for(&mut fleet, 4);
}

/// An agent is killed while it stages a version over the one before. The staged pieces are of both versions,
/// and no such mix was ever ordered: the next version is staged at once, and no other is loaded before it.
#[test]
fn a_restarted_agent_replaces_pieces_of_two_versions_by_the_newest() {
    let mut fleet = Fleet::start(1);
    fleet.name_version(2);
    fleet.await_version(2);
    fleet.cluster.kill(fleet.agents[0]);
    for number in 0..PIECES / 2 {
        let bytes = piece(3, number);
        fleet.models[0].state().staged.insert(number, bytes);
    }
    fleet.name_version(3);
    restart_agent_for(&mut fleet, 4);
    assert_eq!(fleet.models[0].state().loaded, [2, 4]);
}

/// An agent is killed while an order to its new engine is pending. The version that the engine was ordered to
/// load is the first, which is never named, and is no longer wanted when the agent restarts.
#[test]
fn a_restarted_agent_recognises_versions_that_are_no_longer_wanted() {
    let mut fleet = Fleet::start(0);
    let model = Model::default();
    model.state().late_orders = 1;
    fleet.add_model(model);
    await_pending_order(&fleet);
    restart_agent_for(&mut fleet, 2);
}

/// Guards against staging over an ordered version that many others followed before all processes were killed.
#[test]
fn an_ordered_version_is_recognised_however_many_followed_it() {
    let mut fleet = with_pending_order();
    for version in 4..=12 {
        fleet.name_version(version);
    }
    fleet.restart_all();
    fleet.await_version(12);
    assert_eq!(fleet.bad_loads(), 0);
}

/// Guards against staging over an ordered version of which no node has the list any more.
#[test]
fn an_ordered_version_without_a_list_is_waited_for() {
    let mut fleet = Fleet::start(0);
    let model = Model::default();
    {
        let mut state = model.state();
        state.staged = (0..PIECES).map(|n| (n, piece(5, n))).collect();
        state.late_limit = Some(LATE_LIMIT);
        state.withhold_order(5);
    }
    fleet.add_model(model);
    fleet.name_version(6);
    fleet.await_version(6);
    assert_eq!(fleet.bad_loads(), 0);
    assert_eq!(fleet.models[0].state().loaded, [5, 6]);
}

/// Guards against a needless wait after a restart of all processes, as the lists of older versions are gone
/// from the origin.
#[test]
fn the_served_version_is_recognised_after_all_processes_restarted() {
    let mut fleet = Fleet::start(0);
    for _ in 0..2 {
        let model = Model::default();
        {
            let mut state = model.state();
            state.version = 1;
            state.staged = (0..PIECES).map(|n| (n, piece(1, n))).collect();
        }
        fleet.add_model(model);
    }
    wait_until("the list of the first version is kept", || {
        (0..3).any(|n| fleet.cluster.has_logged(n, "list of pieces kept"))
    });
    for version in 2..=4 {
        fleet.name_version(version);
    }
    fleet.restart_all();
    fleet.await_version(4);
    assert_eq!(fleet.bad_loads(), 0);
    for agent in fleet.agents {
        assert!(
            !fleet
                .cluster
                .has_logged(agent, "pieces of no known version")
        );
    }
}

/// An engine loses power right after its agent has read all pieces back, and restarts with nothing staged. An
/// order that was repeated on a new connection would reach the restarted engine, which would load missing
/// pieces. An order is valid only for the start at which the pieces were read.
#[test]
fn an_order_does_not_reach_an_engine_that_restarted_after_the_pieces_were_read() {
    let fleet = Fleet::start(1);
    fleet.name_version(2);
    fleet.await_version(2);
    // The pieces are read once before the engine stops accepting requests, and once right before the order.
    fleet.models[0].state().restarts_after = Some(2);
    fleet.name_version(3);
    fleet.await_version(3);
    assert_eq!(fleet.bad_loads(), 0);
}

/// Guards against tokens that no version of the weights makes. An engine leaves the write of a piece without
/// an answer, the agent writes it again, and the engine loads that version. The next version is staged and
/// read back. Seconds after it was sent, the first write is carried out, between the last read and the start
/// of the order.
#[test]
fn a_late_write_of_a_piece_changes_no_other_version() {
    let fleet = Fleet::start(1);
    fleet.name_version(2);
    fleet.await_version(2);
    fleet.models[0].state().late_puts = 1;
    fleet.name_version(3);
    fleet.await_version(3);
    fleet.name_version(4);
    fleet.await_version(4);
    assert_eq!(fleet.bad_loads(), 0);
}

/// Guards against answers of two versions: a killed agent has written a piece without an answer, and it
/// overwrites a piece of the version that the agent in its place loads.
#[test]
fn an_engine_that_loaded_a_piece_written_before_a_kill_is_not_used() {
    let mut fleet = Fleet::start(1);
    fleet.name_version(2);
    fleet.await_version(2);
    fleet.await_answer(200);
    {
        let mut state = fleet.models[0].state();
        state.late_puts = 1;
        state.keeps_layers = true;
    }
    fleet.name_version(3);
    wait_until("a put is left without an answer", || {
        fleet.models[0].state().late_puts == 0
    });
    let agent = fleet.agents[0];
    fleet.cluster.kill(agent);
    fleet.name_version(4);
    fleet.cluster.ensure_running(agent);
    fleet.await_version(4);
    assert_eq!(fleet.bad_loads(), 1);
    wait_until("the agent knows", || {
        fleet.cluster.has_logged(agent, "pieces of two versions")
    });
    fleet.await_answer(503);
    fleet.name_version(5);
    fleet.await_version(5);
    fleet.await_answer(200);
    assert_eq!(fleet.bad_loads(), 1);
}

/// Starts a fleet whose engine carries out a write of an earlier process between the check of version 4 and its load,
/// and returns once it has loaded that mix.
fn with_mixed_weights(keeps_layers: bool) -> Fleet {
    let mut fleet = Fleet::start(1);
    fleet.name_version(2);
    fleet.await_version(2);
    fleet.await_answer(200);
    {
        let mut state = fleet.models[0].state();
        state.late_puts = 1;
        state.keeps_layers = keeps_layers;
    }
    fleet.name_version(3);
    wait_until("a put is left without an answer", || {
        fleet.models[0].state().late_puts == 0
    });
    fleet.cluster.kill(fleet.agents[0]);
    fleet.name_version(4);
    // The engine is slow, so that the agent can be stopped before it has checked what was loaded.
    fleet.models[0].state().read_time = Duration::from_millis(50);
    fleet.cluster.ensure_running(fleet.agents[0]);
    wait_until("it is loaded", || fleet.models[0].state().bad_loads == 1);
    fleet
}

/// Sends requests for `time`, each to the engine under its one id.
fn ask_for(fleet: &Fleet, time: Duration) {
    let began = Instant::now();
    for n in 0.. {
        if began.elapsed() >= time {
            return;
        }
        fleet.announce_all();
        let request = get("/stream/", &format!("while-{n}"), "");
        let _ = exchange(&fleet.cluster.front_addr(0), &request);
    }
}

/// Guards against callers that get tokens of two versions again once the agent that knew of them is restarted as
/// planned, or is away for longer than entries keep its last row.
#[test]
fn a_restarted_agent_keeps_callers_from_mixed_weights() {
    let mut fleet = with_mixed_weights(true);
    let agent = fleet.agents[0];
    wait_until("the agent knows", || {
        fleet.cluster.has_logged(agent, "pieces of two versions")
    });
    assert!(fleet.cluster.stop(agent), "it stops");
    fleet.cluster.ensure_running(agent);
    ask_for(&fleet, Duration::from_secs(2));
    assert!(fleet.cluster.stop(agent), "it stops");
    ask_for(&fleet, Duration::from_secs(5));
    fleet.cluster.ensure_running(agent);
    ask_for(&fleet, Duration::from_secs(2));
    assert_eq!(fleet.models[0].state().bad_answers, 0);
    fleet.name_version(5);
    fleet.await_version(5);
    fleet.await_answer(200);
}

/// Guards against the same where the agent is killed right after the order, before it knows.
#[test]
fn an_agent_killed_right_after_an_order_leaves_its_check_to_the_next() {
    let mut fleet = with_mixed_weights(false);
    let agent = fleet.agents[0];
    fleet.cluster.kill(agent);
    ask_for(&fleet, Duration::from_secs(1));
    fleet.cluster.ensure_running(agent);
    wait_until("the engine serves version 4 as it was published", || {
        ask_for(&fleet, Duration::from_millis(100));
        let state = fleet.models[0].state();
        state.version == 4 && !state.serves_bad
    });
    fleet.await_answer(200);
    assert_eq!(fleet.models[0].state().bad_answers, 0);
}

/// Guards against a planned restart that takes a sound engine out of use, or loads it again.
#[test]
fn a_restarted_agent_goes_on_with_an_engine_that_was_used() {
    let mut fleet = Fleet::start(1);
    fleet.name_version(2);
    fleet.await_version(2);
    fleet.await_answer(200);
    // It turned bad after it was loaded.
    fleet.models[0].state().staged.insert(3, b"rot".to_vec());
    let agent = fleet.agents[0];
    assert!(fleet.cluster.stop(agent), "it stops");
    fleet.cluster.ensure_running(agent);
    fleet.await_answer(200);
    fleet.name_version(3);
    fleet.await_version(3);
    assert_eq!(fleet.models[0].state().loaded, [2, 3]);
    assert_eq!(fleet.bad_loads(), 0);
}
