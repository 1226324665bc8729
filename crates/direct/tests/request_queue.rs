//! The waiting line of a pool: order, guaranteed shares and refusals.

use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::RouteName;
use eelgrassramp_direct::request_queue::Class;
use eelgrassramp_direct::request_queue::MIN_SERVICE_SHARE;
use eelgrassramp_direct::request_queue::Priority;
use eelgrassramp_direct::request_queue::QueuedRequest;
use eelgrassramp_direct::request_queue::RequestQueue;
use googletest::prelude::*;

fn class(account: Option<u32>, route: u32) -> Class {
    Class {
        urgency: Priority::new(account, route),
        route: RouteName::new(format!("route-{route}")),
    }
}

fn waiting(seq: u64, arrived_ms: u64) -> QueuedRequest<u64> {
    let arrived = Monotonic::from_millis(arrived_ms);
    QueuedRequest {
        seq,
        arrived,
        start_by: arrived + Duration::from_millis(400),
        give_up_at: arrived + Duration::from_secs(2),
        item: seq,
    }
}

fn arrive(line: &mut RequestQueue<u64>, class: &Class, seq: u64, at_ms: u64) {
    line.arrive(Monotonic::from_millis(at_ms), class);
    line.push(class, waiting(seq, at_ms));
}

#[gtest]
fn the_account_goes_before_the_route() {
    let mut all = [
        Priority::new(Some(1), 0),
        Priority::new(Some(0), 2),
        Priority::new(None, 1),
        Priority::new(Some(0), 0),
    ];

    all.sort();

    let ranks = all.map(|u| (u.account, u.route));
    expect_that!(ranks, eq([(0, 0), (0, 2), (1, 0), (1, 1)]));
}

#[gtest]
fn the_most_urgent_class_is_next_while_all_are_served_enough() {
    let mut line = RequestQueue::default();
    let now = Monotonic::from_millis(100);
    let (urgent, draft) = (class(None, 0), class(None, 2));
    for class in [&urgent, &draft] {
        for _ in 0..10 {
            line.arrive(now, class);
            line.count_grant(now, class);
        }
    }
    arrive(&mut line, &draft, 1, 100);
    arrive(&mut line, &urgent, 2, 100);

    let next = line.next_class(now);

    expect_that!(next, some(eq(&urgent)));
}

#[gtest]
fn a_class_below_its_floor_is_next() {
    let mut line = RequestQueue::default();
    let now = Monotonic::from_millis(100);
    let (urgent, draft) = (class(None, 0), class(None, 2));
    for _ in 0..10 {
        line.arrive(now, &urgent);
        line.count_grant(now, &urgent);
        line.arrive(now, &draft);
    }
    arrive(&mut line, &draft, 1, 100);
    arrive(&mut line, &urgent, 2, 100);

    let next = line.next_class(now);

    expect_that!(next, some(eq(&draft)));
}

#[gtest]
fn under_twice_the_capacity_the_least_urgent_class_gets_its_floor_and_the_urgent_one_all() {
    let mut line = RequestQueue::default();
    let (urgent, draft) = (class(None, 0), class(None, 2));
    let mut served = [0_u32; 2];
    let mut seq = 0;
    // Each 10 ms one urgent request and three drafts arrive, and two can be served.
    for step in 0..2_000 {
        let ms = step * 10;
        for class in [&urgent, &draft, &draft, &draft] {
            seq += 1;
            arrive(&mut line, class, seq, ms);
        }
        let now = Monotonic::from_millis(ms);
        line.take_expired(now);
        for _ in 0..2 {
            let class = line.next_class(now).expect("requests wait");
            line.pop(now, &class);
            served[usize::from(class == draft)] += 1;
        }
    }

    expect_that!(f64::from(served[0]), ge(0.97 * 2_000.0));
    expect_that!(f64::from(served[1]), ge(MIN_SERVICE_SHARE * 0.95 * 6_000.0));
}

#[gtest]
fn a_request_that_can_be_on_time_goes_before_one_that_is_late() {
    let mut line = RequestQueue::default();
    let class = class(None, 0);
    arrive(&mut line, &class, 1, 0);
    arrive(&mut line, &class, 2, 300);
    let now = Monotonic::from_millis(450);
    line.next_class(now);

    let order = [line.pop(now, &class), line.pop(now, &class)];

    let order = order.map(|waiting| waiting.map(|w| w.seq));
    expect_that!(order, eq([Some(2), Some(1)]));
}

#[gtest]
fn a_request_leaves_when_it_has_waited_long_enough() {
    let mut line = RequestQueue::default();
    let class = class(None, 0);
    arrive(&mut line, &class, 1, 0);
    arrive(&mut line, &class, 2, 1_000);

    let expired = line.take_expired(Monotonic::from_millis(2_000));

    let expired: Vec<u64> = expired.iter().map(|w| w.seq).collect();
    expect_that!(expired, elements_are![eq(&1)]);
    expect_that!(line.len(), eq(1));
}

#[gtest]
fn the_estimate_grows_with_what_waits_and_falls_with_what_is_served() {
    let class = class(None, 0);
    let estimate = |served: u32| {
        let mut line = RequestQueue::default();
        let now = Monotonic::from_millis(100);
        for seq in 0..20 {
            arrive(&mut line, &class, seq, 100);
        }
        for _ in 0..served {
            line.count_grant(now, &class);
        }
        line.arrive(now, &class)
    };

    let (slow, fast) = (estimate(4), estimate(40));

    expect_that!(slow, gt(fast));
    expect_that!(fast, le(Duration::from_millis(2_100)));
}

#[gtest]
fn a_caller_that_is_late_already_waits_behind_those_that_can_be_on_time() {
    let mut line = RequestQueue::default();
    let drafts = class(None, 0);
    let mut late = waiting(1, 1_000);
    late.start_by = Monotonic::from_millis(900);
    line.push(&drafts, late);
    arrive(&mut line, &drafts, 2, 1_010);

    let first = line.pop(Monotonic::from_millis(1_020), &drafts);
    let second = line.pop(Monotonic::from_millis(1_020), &drafts);

    expect_that!(first.map(|w| w.seq), some(eq(2)));
    expect_that!(second.map(|w| w.seq), some(eq(1)));
}
