//! When an answer has to leave to be within its caller's aim.

use std::time::Duration;

use anvilhub_coord::gateway::AnswerDeadline;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The load of gathered requests that a relay answers at the last moment: with a pause in each of them, an answer that
/// leaves when its entry instance would have sent it is late by the hop between the two.
#[test]
fn relayed_answer_leaves_earlier() {
    let direct = AnswerDeadline {
        aim: millis(80),
        margin: millis(10),
        ..AnswerDeadline::default()
    };
    let relayed = AnswerDeadline {
        way_back: millis(2),
        ..direct
    };
    let reaches_caller = |time: AnswerDeadline| time.left() + time.way_back + time.margin;
    assert_eq!(reaches_caller(direct), millis(80));
    assert_eq!(reaches_caller(relayed), millis(80));
    assert_eq!(relayed.left(), millis(68));
}

#[test]
fn missed_aim_leaves_nothing() {
    let time = AnswerDeadline {
        aim: millis(40),
        margin: millis(10),
        waited_before: millis(35),
        ..AnswerDeadline::default()
    };
    assert_eq!(time.left(), Duration::ZERO);
}
