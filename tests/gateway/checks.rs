//! Tests what an engine loads when staged pieces turn bad while they are checked.

use std::cell::Cell;
use std::time::Duration;

use crate::cluster::exchange;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::fleet::Fleet;

/// An engine that is slow takes this time to read a piece. Its agent waits for half a second.
const SLOW_READ: Duration = Duration::from_millis(300);

/// At an engine that takes this time for a read, all pieces take longer than they may be old, one after the other.
const SINGLE_READ: Duration = Duration::from_millis(250);

/// Sends requests until one is answered with a success.
fn await_served(fleet: &Fleet) {
    let asked = Cell::new(0);
    wait_until("a request is served", || {
        fleet.announce_all();
        asked.set(asked.get() + 1);
        let request = get("/stream/", &format!("served-{}", asked.get()), "");
        let answer = exchange(&fleet.cluster.front_addr(0), &request);
        answer.is_some_and(|answer| answer.status == 200)
    });
}

/// Starts a fleet of one engine that serves version 2.
fn start() -> Fleet {
    let fleet = Fleet::start(1);
    fleet.name_version(2);
    fleet.await_version(2);
    await_served(&fleet);
    fleet
}

/// Names version 3 and sends requests until the engine serves it with pieces that are all right.
fn assert_served_right(fleet: &Fleet) {
    fleet.name_version(3);
    wait_until("the engine serves version 3 as it was published", || {
        await_served(fleet);
        let state = fleet.models[0].state();
        state.version == 3 && state.rot_at == 0 && !state.serves_bad
    });
    await_served(fleet);
    assert_eq!(fleet.models[0].state().bad_answers, 0);
}

/// Guards against an engine that answers with a piece that was bad for seconds when it was loaded: the check of the
/// pieces before the order took longer than that, as the engine was slow.
#[test]
fn a_piece_that_turns_bad_during_a_slow_check_is_not_loaded() {
    let fleet = start();
    {
        let mut state = fleet.models[0].state();
        state.read_time = SLOW_READ;
        // The pieces are read while they are staged, before the engine gets no more requests, and before the order.
        state.rot_at = 2;
    }
    assert_served_right(&fleet);
    assert_eq!(fleet.bad_loads(), 0);
}

/// Guards against the same at an engine that answers one call at a time, so that no check of all pieces is recent
/// enough, and against a check that is repeated there without an end: the engine would never get the version.
#[test]
fn an_engine_that_is_never_read_in_time_gets_the_version_and_answers_with_it_alone() {
    let fleet = start();
    {
        let mut state = fleet.models[0].state();
        state.read_time = SINGLE_READ;
        state.one_by_one = true;
        state.rot_at = 2;
    }
    assert_served_right(&fleet);
}

/// Guards against an engine that is left out for good although its pieces can be fetched again: one of them was bad
/// when it was loaded.
#[test]
fn an_engine_that_loaded_a_bad_piece_loads_again() {
    let fleet = start();
    fleet.models[0].state().rot_at = 2;
    assert_served_right(&fleet);
}
