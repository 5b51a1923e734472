//! Tests the quotas of teams without a network: a fleet with generated faults must keep the
//! bound in every window, and without faults calls within the quota must not be refused.

mod quota_sim;

use std::ops::Range;
use std::time::Duration;

use base::Time;
use base::VmId;
use quota_sim::Fleet;
use quota_sim::Rules;
use route::quota::choose_homes;
use route::quota::Answer;
use route::quota::Bucket;
use route::quota::Delegation;
use route::quota::Delegator;
use route::quota::Denied;
use route::quota::Desk;
use route::quota::FleetSize;
use route::quota::Home;
use route::quota::HomeView;
use route::quota::Limit;
use route::quota::Owners;
use route::quota::QuotaBody;
use route::quota::QuotaMsg;
use route::quota::Quotas;
use route::quota::Taken;
use route::quota::Terms;
use route::quota::LANES;
use route::quota::LEASE;

/// The number of generated scripts.
const SCRIPTS: u64 = 300;
const WINDOW: Duration = Duration::from_secs(5);
const TERMS: Terms = Terms {
    window: WINDOW,
    excess: 0.1,
    slack: 20.0,
};

/// Returns limits of `count` teams that send `usual` calls a second at a quota of 1.6 times.
fn limits(usual: &[f64]) -> Vec<Limit> {
    let limits = usual.iter().enumerate().map(|(team, usual)| {
        let rate = usual * 1.6;
        Limit::new(team as u64, rate, rate).unwrap()
    });
    limits.collect()
}

/// Returns the usual rates of the 80 teams of the heaviest deployment.
fn usual_rates() -> Vec<f64> {
    let weights: Vec<f64> = (1..=80).map(|rank| f64::from(rank).powf(-1.2)).collect();
    let sum: f64 = weights.iter().sum();
    let rates = weights
        .iter()
        .map(|weight| (924.0 * weight / sum).min(100.0));
    rates.map(|rate| rate.max(1.0)).collect()
}

/// Plays one script of faults on seven VMs whose callers ask for far too much.
fn play(seed: u64, steps: &[(u8, u8, u8)]) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let rate = 4.0 + rng.f64() * 60.0;
    let limits = vec![Limit::new(0, rate, rng.f64() * 2.0 * rate).unwrap()];
    let rules = Rules {
        terms: Terms {
            slack: if rng.bool() { 20.0 } else { 6.0 },
            ..TERMS
        },
        large: 1 + rng.usize(..7),
        drift: 0.01,
        limits,
    };
    let mut fleet = Fleet::new(7, rules, seed);
    fleet.demand = vec![rate * 6.0];
    fleet.run(Duration::from_secs(4));
    for &(kind, vm, span) in steps {
        let vm = usize::from(vm) % 7;
        let span = Duration::from_millis(20 * u64::from(span));
        match kind % 10 {
            0 => fleet.restart(vm, span),
            1 => fleet.freeze(vm, span),
            2 => fleet.split(usize::from(kind / 10) % 7),
            3 => fleet.heal(),
            4 => fleet.loss = 0.3,
            5 => fleet.duplicates = 0.3,
            6 => fleet.delay_max = Duration::from_millis(400),
            7 => (0..7).for_each(|vm| fleet.restart(vm, span / 4)),
            8 => fleet.refuse_runs = !fleet.refuse_runs,
            _ => fleet.set_rate_scale(0.3 + f64::from(kind) / 256.0),
        }
        fleet.run(span);
    }
    fleet.heal();
    fleet.run(Duration::from_secs(2));
    fleet.check_bound();
}

#[test]
fn bound_holds_under_generated_faults() {
    cases::check::<(u64, Vec<(u8, u8, u8)>)>(SCRIPTS, |(seed, steps)| {
        play(*seed, &steps[..steps.len().min(40)]);
    });
}

#[test]
fn bound_holds_with_two_homes_that_change() {
    for seed in 0..20 {
        let limits = vec![Limit::new(0, 30.0, 10.0).unwrap()];
        let rules = Rules {
            terms: Terms {
                slack: 4.0,
                ..TERMS
            },
            large: 7,
            drift: 0.01,
            limits,
        };
        let mut fleet = Fleet::new(7, rules, seed);
        fleet.demand = vec![400.0];
        fleet.view_delay = Duration::from_millis(400);
        fleet.run(Duration::from_secs(4));
        for _ in 0..8 {
            // The side of the home has fewer VMs, and they go on asking it.
            fleet.cut_homes_off(6);
            fleet.run(Duration::from_millis(2000 + 50 * seed));
            fleet.heal();
            fleet.run(Duration::from_millis(3000 - 50 * seed));
        }
        eprintln!("{} calls in a window", fleet.most_in_window(0));
        fleet.check_bound();
    }
}

#[test]
fn bound_holds_while_one_home_has_both_lanes() {
    for seed in 0..20 {
        let rules = Rules {
            terms: Terms {
                slack: 6.0,
                ..TERMS
            },
            large: 12,
            drift: 0.01,
            limits: vec![Limit::new(0, 8.0, 0.0).unwrap()],
        };
        let mut fleet = Fleet::new(12, rules, seed);
        fleet.demand = vec![200.0];
        fleet.refuse_runs = seed % 2 == 0;
        // The side of the first VM is too small for two homes.
        for count in [6, 3, 7, 1, 6] {
            fleet.split(count);
            fleet.run(Duration::from_millis(6500 + 150 * seed));
            let homes = fleet.homes_of(0);
            assert_eq!(homes[0], homes[1]);
            fleet.restart(homes[0], Duration::from_millis(100 * seed));
            fleet.run(Duration::from_millis(400));
            fleet.heal();
            fleet.run(Duration::from_millis(2000));
        }
        eprintln!("{} calls in a window", fleet.most_in_window(0));
        fleet.check_bound();
    }
}

#[test]
fn bound_holds_when_the_fleet_restarts_again_and_again() {
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let rules = Rules {
            terms: Terms {
                slack: 4.0,
                ..TERMS
            },
            large: 1 + rng.usize(..7),
            drift: 0.01,
            limits: vec![Limit::new(0, 30.0, 10.0).unwrap()],
        };
        let mut fleet = Fleet::new(7, rules, seed);
        fleet.demand = vec![400.0];
        fleet.view_delay = Duration::from_millis(rng.u64(50..800));
        fleet.run(Duration::from_secs(4));
        for _ in 0..8 {
            let spread = rng.u64(1..600);
            for vm in 0..7 {
                fleet.restart(vm, Duration::from_millis(rng.u64(..spread)));
            }
            fleet.run(Duration::from_millis(rng.u64(600..4000)));
        }
        fleet.check_bound();
    }
}

#[test]
fn home_grants_the_whole_quota() {
    let rules = Rules::new(vec![Limit::new(0, 40.0, 0.0).unwrap()]);
    let mut fleet = Fleet::new(13, rules, 1);
    fleet.run(Duration::from_secs(5));
    fleet.clear_counts();
    fleet.demand = vec![200.0];
    fleet.run(Duration::from_secs(20));
    let granted = fleet.granted[0];
    assert!((780..=900).contains(&granted), "{granted}");
}

#[test]
fn calls_within_the_quota_are_hardly_refused() {
    let usual = usual_rates();
    let mut fleet = Fleet::new(120, Rules::new(limits(&usual)), 2);
    fleet.run(Duration::from_secs(5));
    fleet.clear_counts();
    fleet.demand = usual.iter().map(|usual| usual * 0.96).collect();
    fleet.run(Duration::from_secs(15));
    let (granted, refused) = fleet.totals();
    let calls = granted + refused;
    let messages = fleet.messages as f64 / calls as f64;
    eprintln!("{granted} granted, {refused} refused, {messages:.2} messages a call");
    assert!(refused * 200 < calls, "{refused} of {calls}");
    // Two for each call, and two for each renewal of a lease: 25 in 15 s for each of two
    // lanes of 120 VMs. See docs/design/quotas.md.
    let leases = 2 * 25 * 2 * 120;
    let messages = fleet.messages;
    assert!(messages < 2 * calls + leases + leases / 10, "{messages}");
    fleet.check_bound();
}

#[test]
fn askers_that_stall_lose_no_tokens() {
    let mut rng = fastrand::Rng::with_seed(9);
    let mut fleet = Fleet::new(60, Rules::new(vec![Limit::new(0, 100.0, 60.0).unwrap()]), 9);
    fleet.run(Duration::from_secs(5));
    // A VM that stands still takes no calls, so some 90 of these come in a second.
    fleet.demand = vec![132.0];
    fleet.delay_max = Duration::from_millis(19);
    let homes = fleet.homes_of(59);
    let round = Duration::from_millis(200);
    for index in 0..100 {
        if index == 25 {
            fleet.clear_counts();
        }
        for vm in (0..60).filter(|vm| !homes.contains(vm)) {
            fleet.stall(vm, Duration::from_millis(rng.u64(50..90)));
        }
        fleet.run(round);
    }
    let (granted, refused) = fleet.totals();
    let late = fleet.unanswered;
    eprintln!("stalls: {granted} granted and {refused} refused in 15 s, {late} of them late");
    // A call that is refused since its VM stood still for too long is no lost token.
    assert!(late * 30 < granted, "{late} of {granted}");
    let refused = refused - late;
    assert!(refused * 200 < granted, "{refused} of {granted}");
    fleet.check_bound();
}

#[test]
fn grant_that_no_call_uses_is_given_back_once() {
    let mut quotas = Quotas::new(3, 50, TERMS, Time::ZERO, 0);
    quotas.set_limits(vec![Limit::new(1, 10.0, 5.0).unwrap()], Time::ZERO);
    let view = HomeView {
        homes: [Some(1), Some(2)],
        alive: &[1, 2, 3],
        registered: 3,
    };
    let at = |ms| Time::from_secs(20) + Duration::from_millis(ms);
    quotas.set_view(view, at(0));
    let grant = |quotas: &mut Quotas, lane: u8, ask, ms| {
        let body = QuotaBody::Grant { ask, extra: 0 };
        quotas.receive(u64::from(lane) + 1, QuotaMsg { lane, body }, at(ms));
        quotas.take_messages().len()
    };
    // Both lanes grant, and each grant comes twice.
    assert_eq!(quotas.take(1, at(0)), Taken::Wait(0));
    assert_eq!(quotas.ask_other(0, at(70)), Some(1));
    quotas.take_messages();
    let sent = [0, 0, 1, 1, 0].map(|lane| grant(&mut quotas, lane, 0, 71));
    assert_eq!(sent, [0, 0, 1, 0, 0]);
    assert_eq!(quotas.take_answers().len(), 1);
    // The call is gone when the grants come, and the last one is too late for the home.
    assert_eq!(quotas.take(1, at(200)), Taken::Wait(1));
    quotas.give_up(1);
    quotas.take_messages();
    let sent = [(1, 310), (1, 311), (0, 401)].map(|(lane, ms)| grant(&mut quotas, lane, 1, ms));
    assert_eq!(sent, [1, 0, 0]);
    assert!(quotas.take_answers().is_empty());
}

#[test]
fn lane_without_a_home_is_passed_over_at_once() {
    let now = Time::from_secs(20);
    for homes in [[None, Some(2)], [Some(2), None], [None, None]] {
        for first in 0..2 {
            let mut quotas = Quotas::new(3, 50, TERMS, Time::ZERO, first);
            quotas.set_limits(vec![Limit::new(1, 10.0, 5.0).unwrap()], Time::ZERO);
            let view = HomeView {
                homes,
                alive: &[2, 3],
                registered: 3,
            };
            quotas.set_view(view, now);
            assert_eq!(quotas.take(1, now), Taken::Wait(first));
            let sent = quotas.take_messages();
            let answers = quotas.take_answers();
            if homes == [None, None] {
                let refused = Answer::Refused(Duration::from_millis(500));
                assert_eq!((sent.len(), answers), (0, vec![(first, refused)]));
                continue;
            }
            let [(2, QuotaMsg { lane, .. })] = sent[..] else {
                panic!("{homes:?}: {sent:?}");
            };
            assert!(homes[usize::from(lane)].is_some() && answers.is_empty());
            // The refusal of the only home is final.
            let retry_after = Duration::from_millis(300);
            let ask = first;
            let body = QuotaBody::Deny { ask, retry_after };
            quotas.receive(2, QuotaMsg { lane, body }, now);
            let refused = Answer::Refused(retry_after);
            assert_eq!(quotas.take_answers(), vec![(first, refused)]);
        }
    }
}

#[test]
fn messages_with_extreme_values_do_no_harm() {
    let now = Time::from_secs(20);
    let mut quotas = Quotas::new(3, 50, TERMS, Time::ZERO, 0);
    quotas.set_limits(vec![Limit::new(1, 10.0, 5.0).unwrap()], Time::ZERO);
    let view = HomeView {
        homes: [Some(3), Some(2)],
        alive: &[2, 3],
        registered: 2,
    };
    quotas.set_view(view, now);
    quotas.tick(2, now);
    let (instance, ask, extra) = (50, u64::MAX, u32::MAX);
    let mut bodies = Vec::new();
    for time in [Duration::MAX, Duration::ZERO] {
        bodies.extend([0, u32::MAX].map(|fleet| QuotaBody::Collect {
            instance,
            stamp: time,
            fleet,
        }));
        let shares = [f64::NAN, f64::INFINITY, -1.0, 2.0, 0.0, 1.0];
        bodies.extend(shares.map(|share| QuotaBody::Delegate {
            instance,
            stamp: time,
            share,
            waits: share == 1.0,
            age: time,
            unused: time,
            credit: share,
        }));
        bodies.push(QuotaBody::Offer);
        bodies.push(QuotaBody::Return {
            instance,
            stamp: time,
            held: time,
        });
    }
    bodies.extend([
        QuotaBody::Ask {
            ask,
            team: 1,
            extra,
        },
        QuotaBody::Grant { ask, extra },
        QuotaBody::GiveBack { ask },
    ]);
    for body in bodies {
        for lane in [0, 1, u8::MAX] {
            quotas.receive(2, QuotaMsg { lane, body }, now);
            quotas.tick(2, now);
        }
    }
    // A refusal without end, of both lanes, is shortened.
    let mut desk = Desk::new(0);
    assert_eq!(desk.take(1, now), Taken::Wait(0));
    let mut deny = |lane| desk.denied(lane, 0, Duration::MAX, now);
    assert_eq!(deny(0), Denied::AskOther);
    assert_eq!(deny(1), Denied::Refused(Duration::from_secs(60)));
    let again = desk.take(1, now);
    assert_eq!(again, Taken::Refused(Duration::from_secs(60)));
    assert!(quotas.share() <= 0.5, "{}", quotas.share());
}

#[test]
fn busy_vms_hold_tokens_ahead() {
    let usual = usual_rates();
    let mut fleet = Fleet::new(13, Rules::new(limits(&usual)), 6);
    fleet.run(Duration::from_secs(5));
    fleet.clear_counts();
    fleet.demand = usual.clone();
    fleet.run(Duration::from_secs(10));
    let (granted, refused) = fleet.totals();
    let messages = fleet.messages as f64 / (granted + refused) as f64;
    eprintln!("13 VMs: {messages:.2} messages a call");
    assert!(refused * 200 < granted, "{refused} of {granted}");
    assert!(messages < 1.8, "{messages}");
    fleet.check_bound();
}

#[test]
fn team_beyond_its_quota_gets_it_and_touches_no_other() {
    let usual = usual_rates();
    for hot in [0, 5, 60] {
        let mut fleet = Fleet::new(120, Rules::new(limits(&usual)), 3);
        fleet.run(Duration::from_secs(5));
        fleet.demand = usual.clone();
        fleet.demand[hot] *= 7.5;
        fleet.run(Duration::from_secs(5));
        fleet.clear_counts();
        fleet.run(Duration::from_secs(10));
        let quota = usual[hot] * 1.6 * 10.0;
        let granted = fleet.granted[hot] as f64;
        assert!(
            granted > 0.9 * quota - 2.0,
            "team {hot}: {granted} of {quota}"
        );
        let (all, refused) = fleet.totals();
        let others = refused - fleet.refused[hot];
        assert!(others * 200 < all, "{others} of {all}");
        fleet.check_bound();
    }
}

#[test]
fn lost_home_refuses_for_a_short_time() {
    let usual = usual_rates();
    let mut fleet = Fleet::new(120, Rules::new(limits(&usual)), 4);
    fleet.run(Duration::from_secs(5));
    fleet.demand = usual.clone();
    fleet.run(Duration::from_secs(4));
    let home = fleet.home_of(119);
    fleet.stop(home);
    fleet.clear_counts();
    fleet.run(Duration::from_secs(4));
    let (granted, refused) = fleet.totals();
    eprintln!("home lost: {granted} granted and {refused} refused in 4 s");
    assert!(refused * 20 < granted, "{refused} of {granted}");
    fleet.clear_counts();
    fleet.run(Duration::from_secs(4));
    let (granted, refused) = fleet.totals();
    assert!(refused * 200 < granted + refused, "{refused} of {granted}");
    fleet.check_bound();
}

#[test]
fn small_team_gets_tokens_while_few_vms_are_alive() {
    for (alive, terms) in [(3, TERMS), (5, Terms::default())] {
        let limits = vec![Limit::new(0, 4.0, 1.6).unwrap()];
        let rules = Rules {
            terms,
            ..Rules::new(limits)
        };
        let mut fleet = Fleet::new(12, rules, 10);
        fleet.run(Duration::from_secs(5));
        (alive..12).for_each(|vm| fleet.stop(vm));
        fleet.run(Duration::from_secs(9));
        fleet.clear_counts();
        // More than the part of the VMs that are left.
        fleet.demand = vec![24.0];
        fleet.run(Duration::from_secs(20));
        let part = 4.0 * 20.0 * alive as f64 / 12.0;
        let granted = fleet.granted[0] as f64;
        eprintln!("{alive} of 12 VMs: {granted} granted, the part is {part:.1}");
        assert!(granted > 0.8 * part, "{granted} of {part}");
        assert!(granted < part + 3.0, "{granted} of {part}");
        fleet.check_bound();
    }
}

#[test]
fn token_out_of_both_lanes_goes_back_to_both() {
    let limits = [Limit::new(1, 1.0, 2.0).unwrap()];
    let at = |ms| Time::from_secs(10) + Duration::from_millis(ms);
    let mut homes = [Home::new(Terms::default()), Home::new(Terms::default())];
    for home in &mut homes {
        home.start(&limits, at(0));
        home.collect(&[7], at(0));
        let delegation = Delegation {
            share: 0.25,
            waits: false,
            age: Duration::ZERO,
            unused: Duration::ZERO,
            credit: 0.0,
        };
        home.delegate(7, at(1), delegation, at(1));
        home.collect(&[7], at(1));
        // A later lease keeps the part.
        home.delegate(7, at(1000), delegation, at(1000));
        home.collect(&[7], at(1000));
        home.delegate(7, at(2000), delegation, at(2000));
    }
    // Each bucket holds half of a token, and its cap is three quarters of one.
    let [first, second] = &mut homes;
    assert!(first.take(None, (3, 1), 1, 0, at(2010)).is_err());
    assert_eq!(
        first.take(Some(&mut *second), (3, 2), 1, 0, at(2010)),
        Ok(0)
    );
    let refused = first.take(Some(&mut *second), (3, 3), 1, 0, at(2020));
    let delay = refused.unwrap_err().as_secs_f64();
    assert!((1.5..3.1).contains(&delay), "{delay}");
    first.give_back(Some(&mut *second), 3, 2, at(2020));
    assert_eq!(second.take(Some(first), (3, 4), 1, 0, at(2030)), Ok(0));
}

#[test]
fn herd_that_restarts_keeps_the_bound_and_is_served_soon() {
    let usual = usual_rates();
    let mut fleet = Fleet::new(120, Rules::new(limits(&usual)), 7);
    fleet.run(Duration::from_secs(5));
    fleet.demand = usual.iter().map(|usual| usual * 1.5).collect();
    fleet.run(Duration::from_secs(4));
    fleet.clear_counts();
    for vm in (0..120).step_by(2) {
        fleet.restart(vm, Duration::from_millis(500));
    }
    fleet.run(Duration::from_secs(5));
    let (granted, refused) = fleet.totals();
    eprintln!("herd: {granted} granted and {refused} refused in 5 s");
    fleet.demand = usual.clone();
    fleet.run(Duration::from_secs(2));
    fleet.clear_counts();
    fleet.run(Duration::from_secs(4));
    let (granted, refused) = fleet.totals();
    assert!(refused * 200 < granted, "{refused} of {granted}");
    fleet.check_bound();
}

#[test]
fn fleet_that_restarts_as_a_whole_is_served_within_a_second() {
    let usual = usual_rates();
    let mut fleet = Fleet::new(120, Rules::new(limits(&usual)), 9);
    fleet.run(Duration::from_secs(5));
    fleet.demand = usual.iter().map(|usual| usual * 0.96).collect();
    fleet.demand[0] *= 7.5;
    fleet.run(Duration::from_secs(4));
    for vm in 0..120 {
        fleet.restart(vm, Duration::from_millis(500));
    }
    fleet.run(Duration::from_millis(500 + 1000));
    fleet.clear_counts();
    fleet.run(Duration::from_secs(3));
    let others = fleet.granted[1..].iter().sum::<u64>();
    let refused = fleet.refused[1..].iter().sum::<u64>();
    eprintln!("whole fleet: {others} granted and {refused} refused in 3 s");
    assert!(refused * 20 < others, "{refused} of {others}");
    fleet.check_bound();
}

#[test]
fn one_vm_that_restarts_waits_for_the_leases_of_its_earlier_process() {
    let mut home = Home::new(Terms::default());
    let limits = [Limit::new(0, 100.0, 0.0).unwrap()];
    home.start(&limits, Time::from_secs(10));
    let now = Time::from_secs(11);
    let vms: Vec<u64> = (0..10).collect();
    home.collect(&vms, now);
    let delegation = |waits| Delegation {
        share: 0.05,
        waits,
        age: Duration::ZERO,
        unused: Duration::ZERO,
        credit: 0.0,
    };
    for vm in 0..9 {
        home.delegate(vm, now, delegation(vm > 7), now);
    }
    // Two of ten have restarted.
    home.delegate(9, now, delegation(true), now);
    assert!((home.share() - 0.4).abs() < 1e-9, "{}", home.share());
}

/// Returns how many tokens a home has, to which those of ten `vms` delegate `at` this time.
/// They started 1 s ago, and another home used the part of one until 0.5 s ago.
fn tokens_after_restart(home: &mut Home, vms: Range<VmId>, at: Time) -> usize {
    let vms: Vec<VmId> = vms.collect();
    home.collect(&vms, at);
    for vm in vms {
        let delegation = Delegation {
            share: 0.05,
            waits: true,
            age: Duration::from_millis(1000),
            unused: Duration::from_millis(if vm == 0 { 500 } else { 1000 }),
            credit: 0.0,
        };
        home.delegate(vm, at, delegation, at);
    }
    (0..1000)
        .take_while(|ask| home.take(None, (0, *ask), 0, 0, at).is_ok())
        .count()
}

#[test]
fn home_of_a_fleet_that_restarted_has_what_flowed_since() {
    let mut home = Home::new(Terms::default());
    let limits = [Limit::new(0, 100.0, 500.0).unwrap()];
    home.start(&limits, Time::from_secs(10));
    // 100 calls a second, half of them in this lane, for 1 s less the drift of clocks.
    let at = Time::from_millis(10_700);
    assert_eq!(tokens_after_restart(&mut home, 0..10, at), 45);
    // What it used itself does not come again, nor in its next term.
    let at = Time::from_millis(11_000);
    assert_eq!(tokens_after_restart(&mut home, 0..10, at), 15);
    home.stop(at);
    home.start(&limits, at);
    let at = Time::from_millis(11_700);
    let tokens = tokens_after_restart(&mut home, 0..10, at);
    assert!((33..=35).contains(&tokens), "{tokens}");
}

#[test]
fn home_of_a_fleet_of_which_one_vm_may_be_a_home_from_before_waits_for_it() {
    let mut home = Home::new(Terms::default());
    let limits = [Limit::new(0, 100.0, 500.0).unwrap()];
    home.start(&limits, Time::from_secs(10));
    // The tenth VM may still use the leases of the processes before.
    let at = Time::from_millis(10_700);
    assert_eq!(tokens_after_restart(&mut home, 0..9, at), 0);
    let at = Time::from_millis(10_800);
    let tokens = tokens_after_restart(&mut home, 9..10, at);
    assert!((40..=46).contains(&tokens), "{tokens}");
}

#[test]
fn delegator_tells_how_long_a_part_was_not_used() {
    let start = Time::from_secs(100);
    let mut delegator = Delegator::new(start, WINDOW);
    let at = |ms| start + Duration::from_millis(ms);
    let mut collect = |vm, ms| {
        let delegated = delegator.collect((vm, 50), at(ms), 10, WINDOW, at(ms));
        let delegated = delegated.map(|d| (d.share, d.age.as_millis(), d.unused.as_millis()));
        delegated.unwrap()
    };
    // The first answer may have been lost.
    assert_eq!(collect(1, 200), (0.05, 200, 200));
    assert_eq!(collect(1, 450), (0.05, 450, 450));
    // The other home gets the part when the lease has ended, 1.575 s later.
    assert_eq!(collect(2, 2000).0, 0.0);
    assert_eq!(collect(2, 2100), (0.05, 2100, 75));
}

#[test]
fn part_that_is_offered_is_collected_at_once() {
    let at = |ms| Time::from_secs(20) + Duration::from_millis(ms);
    let view = HomeView {
        homes: [Some(1), Some(1)],
        alive: &[1, 2],
        registered: 2,
    };
    let create = |vm| {
        let mut quotas = Quotas::new(vm, 50, TERMS, Time::ZERO, 0);
        quotas.set_limits(vec![Limit::new(1, 10.0, 5.0).unwrap()], at(0));
        quotas.set_view(view, at(0));
        quotas
    };
    let (mut home, mut vm) = (create(1), create(2));
    home.tick(2, at(0));
    // The collects come before the VM knows any limit.
    assert_eq!(home.take_messages().len(), LANES);
    vm.offer(at(100));
    for (_, offer) in vm.take_messages() {
        home.receive(2, offer, at(100));
    }
    for (_, collect) in home.take_messages() {
        vm.receive(1, collect, at(100));
    }
    for (_, part) in vm.take_messages() {
        home.receive(2, part, at(100));
    }
    assert!((home.share() - 1.0).abs() < 1e-9, "{}", home.share());
    // A part that is there is not asked for.
    vm.offer(at(110));
    for (_, offer) in vm.take_messages() {
        home.receive(2, offer, at(110));
    }
    assert!(home.take_messages().is_empty());
}

#[test]
fn vm_that_fell_silent_is_asked_for_a_while() {
    let at = Time::from_secs;
    let mut owners = Owners::default();
    owners.set_alive(&[1, 2, 3], at(10));
    owners.set_alive(&[1, 3], at(11));
    owners.set_alive(&[1], at(12));
    assert_eq!(owners.asked(at(12)), [1, 2, 3]);
    assert_eq!(owners.asked(at(13)), [1, 3]);
    owners.set_alive(&[1, 3], at(13));
    assert_eq!(owners.asked(at(20)), [1, 3]);
}

#[test]
fn fleet_that_restarts_as_a_whole_serves_what_returns() {
    let usual = usual_rates();
    let mut fleet = Fleet::new(120, Rules::new(limits(&usual)), 9);
    fleet.run(Duration::from_secs(5));
    fleet.demand = usual.iter().map(|usual| usual * 0.96).collect();
    fleet.run(Duration::from_secs(4));
    for vm in 0..120 {
        fleet.restart(vm, Duration::from_millis(500));
    }
    fleet.run(Duration::from_millis(500 + 1300));
    fleet.clear_counts();
    // Callers that were refused come in too.
    fleet.demand = usual.iter().map(|usual| usual * 2.0).collect();
    fleet.run(Duration::from_secs(1));
    let (granted, refused) = fleet.totals();
    eprintln!("return after a restart: {granted} granted and {refused} refused in 1 s");
    assert!(refused * 20 < granted, "{refused} of {granted}");
    fleet.check_bound();
}

#[test]
fn parts_of_older_builds_are_not_used() {
    let rules = Rules::new(vec![Limit::new(0, 60.0, 0.0).unwrap()]);
    let mut fleet = Fleet::new(12, rules, 8);
    fleet.old_from = 8;
    fleet.run(Duration::from_secs(5));
    fleet.demand = vec![300.0];
    fleet.run(Duration::from_secs(5));
    fleet.clear_counts();
    fleet.run(Duration::from_secs(10));
    let granted = fleet.granted[0];
    assert!((360..=420).contains(&granted), "{granted}");
}

#[test]
fn vm_takes_the_larger_number_of_vms() {
    let limit = Limit::new(1, 10.0, 5.0).unwrap();
    let mut quotas = Quotas::new(3, 50, TERMS, Time::ZERO, 0);
    quotas.set_limits(vec![limit], Time::ZERO);
    let view = HomeView {
        homes: [Some(1), Some(2)],
        alive: &[1, 2, 3],
        registered: 5,
    };
    let now = Time::from_secs(20);
    quotas.set_view(view, now);
    for (fleet, parts) in [(4, 5.0), (10, 10.0)] {
        let collect = QuotaMsg {
            lane: 0,
            body: QuotaBody::Collect {
                instance: 9,
                stamp: now,
                fleet,
            },
        };
        quotas.receive(1, collect, now);
        let sent = quotas.take_messages();
        let [(1, QuotaMsg { lane: 0, body })] = sent[..] else {
            panic!("{sent:?}");
        };
        let QuotaBody::Delegate { share, .. } = body else {
            panic!("{body:?}");
        };
        assert!((share * parts * LANES as f64 - 1.0).abs() < 1e-9, "{share}");
    }
    // A VM that is not the home by this VM's view gets nothing, and without limits nobody does.
    let body = QuotaBody::Collect {
        instance: 9,
        stamp: now,
        fleet: 5,
    };
    quotas.receive(2, QuotaMsg { lane: 0, body }, now);
    quotas.set_limits(Vec::new(), now);
    quotas.receive(1, QuotaMsg { lane: 0, body }, now);
    quotas.tick(5, now);
    assert!(quotas.take_messages().is_empty());
    assert!(!quotas.limits(1));
}

#[test]
fn lower_limit_binds_within_a_window() {
    let rules = Rules::new(vec![Limit::new(0, 100.0, 50.0).unwrap()]);
    let mut fleet = Fleet::new(13, rules, 5);
    fleet.demand = vec![600.0];
    fleet.run(Duration::from_secs(8));
    fleet.set_rate_scale(0.1);
    fleet.run(WINDOW);
    fleet.clear_counts();
    fleet.run(WINDOW);
    assert!(fleet.granted[0] as f64 <= 80.5, "{}", fleet.granted[0]);
}

#[test]
fn limit_that_is_added_begins_with_its_burst_and_keeps_the_bound() {
    for seed in 0..20 {
        let limits = [(40.0, 10.0), (10.0, 60.0)];
        let limits = limits.iter().zip(0..);
        let limits = limits.map(|((rate, burst), team)| Limit::new(team, *rate, *burst).unwrap());
        let mut fleet = Fleet::new(13, Rules::new(limits.collect()), seed);
        fleet.limit_teams(1);
        fleet.run(Duration::from_secs(10));
        fleet.limit_teams(2);
        fleet.demand = vec![0.0, 60.0];
        fleet.run(Duration::from_millis(700));
        let (granted, refused) = fleet.totals();
        assert!(refused * 20 < granted, "{refused} of {granted}");
        // The next homes begin without the burst, which has been used.
        fleet.demand = vec![0.0, 500.0];
        for _ in 0..3 {
            fleet.run(Duration::from_millis(100 * (seed % 5)));
            let home = fleet.home_of(12);
            fleet.restart(home, Duration::from_millis(300));
            fleet.run(Duration::from_millis(1500));
            fleet.limit_teams(1);
            fleet.limit_teams(2);
        }
        fleet.run(WINDOW);
        fleet.check_bound();
    }
}

#[test]
fn limit_beyond_all_use_is_none() {
    assert!(Limit::new(1, 1e9, 0.0).is_none());
    assert!(Limit::new(1, f64::NAN, 0.0).is_none());
    assert!(Limit::new(1, 0.0, 5.0).is_none());
    assert!(Limit::new(1, 0.5, f64::INFINITY).is_none());
}

#[test]
fn refused_calls_are_told_when_a_token_will_be_there() {
    let limit = Limit::new(1, 10.0, 2.0).unwrap();
    let inflow = |secs: f64| route::quota::Inflow {
        share: 1.0,
        flow: secs,
        credit: 0.0,
    };
    let at = |secs: f64| Time::from_secs_f64(secs);
    let mut bucket = Bucket::new(limit, &Terms::default(), inflow(0.0));
    let delays: Vec<Duration> = (0..5)
        .map(|_| bucket.take(0, inflow(0.0), at(0.0)).unwrap_err())
        .collect();
    for (index, delay) in delays.iter().enumerate() {
        let expected = 0.1 * (index + 1) as f64;
        assert!((delay.as_secs_f64() - expected).abs() < 0.002, "{delays:?}");
        let due = delay.as_secs_f64() + 0.002;
        assert_eq!(bucket.take(0, inflow(due), at(due)), Ok(0));
    }
}

#[test]
fn flood_puts_later_calls_off_by_seconds_only() {
    let limit = Limit::new(1, 1.6, 0.0).unwrap();
    let inflow = |secs: f64| route::quota::Inflow {
        share: 1.0,
        flow: secs,
        credit: 0.0,
    };
    let mut bucket = Bucket::new(limit, &Terms::default(), inflow(0.0));
    let most = Duration::from_secs(3);
    let mut refuse = |secs: f64| bucket.take(0, inflow(secs), Time::from_secs_f64(secs));
    for call in 0..1000 {
        if let Err(delay) = refuse(f64::from(call) / 1000.0) {
            assert!(delay <= most, "{delay:?} for call {call}");
        }
    }
    // The flood is over.
    assert_eq!(refuse(4.0), Ok(0));
    while refuse(4.0).is_ok() {}
    assert!(refuse(4.0).unwrap_err() <= most);
}

#[test]
fn delegator_serves_one_home_at_a_time() {
    let start = Time::from_secs(100);
    let mut delegator = Delegator::new(start, WINDOW);
    let ms = |ms| start + Duration::from_millis(ms);
    // An earlier process may have delegated. A lane has half of a part.
    for now in [100, 1500] {
        let delegated = delegator.collect((1, 50), ms(0), 10, WINDOW, ms(now));
        assert!(delegated.is_some_and(|d| d.waits && d.share == 0.05));
        let other = delegator.collect((2, 50), ms(0), 10, WINDOW, ms(now));
        assert!(other.is_some_and(|d| d.waits && d.share == 0.0));
    }
    let mut share = |home, stamp, now| {
        let delegated = delegator.collect(home, ms(stamp), 10, WINDOW, ms(now));
        delegated.map(|delegated| {
            assert!(!delegated.waits);
            delegated.share
        })
    };
    assert_eq!(share((1, 50), 1500, 1600), Some(0.05));
    assert_eq!(share((2, 50), 1500, 1700), Some(0.0));
    assert_eq!(share((1, 50), 1700, 1800), Some(0.05));
    assert_eq!(share((2, 50), 3200, 3300), Some(0.0));
    assert_eq!(share((2, 50), 3300, 3400), Some(0.05));
    // A restarted home has lost what it held, but tokens of it may be used for a while.
    assert_eq!(share((2, 60), 3600, 3700), Some(0.0));
    assert_eq!(share((2, 60), 4100, 4200), Some(0.05));
    assert_eq!(share((2, 50), 4100, 4300), None);
    // A return from before the lease is void.
    delegator.take_back((2, 60), ms(4000), Duration::ZERO, ms(4400));
    let taken = delegator.collect((1, 50), ms(4400), 10, WINDOW, ms(4500));
    assert_eq!(taken.map(|taken| taken.share), Some(0.0));
    delegator.take_back((2, 60), ms(4500), Duration::ZERO, ms(4600));
    let taken = delegator.collect((1, 50), ms(4600), 10, WINDOW, ms(4700));
    assert_eq!(taken.map(|taken| taken.share), Some(0.05));
}

#[test]
fn delegator_bounds_what_a_broken_home_returns() {
    let start = Time::from_secs(100);
    let mut delegator = Delegator::new(Time::ZERO, WINDOW);
    let share = |delegator: &mut Delegator, vm, now| {
        let delegated = delegator.collect((vm, 50), start, 10, WINDOW, now);
        delegated.map(|delegated| delegated.share)
    };
    assert_eq!(share(&mut delegator, 1, start), Some(0.05));
    delegator.take_back((1, 50), start, Duration::MAX, start);
    assert_eq!(share(&mut delegator, 2, start), Some(0.0));
    let later = start + Duration::from_millis(430);
    assert_eq!(share(&mut delegator, 2, later), Some(0.05));
}

#[test]
fn homes_are_in_two_domains_and_move_one_at_a_time() {
    let domain = |vm: u64| vm % 4;
    for count in 2..40 {
        let vms: Vec<u64> = (0..count).collect();
        let homes = choose_homes(7, &vms, domain);
        let [Some(first), Some(second)] = homes else {
            panic!("{homes:?}");
        };
        assert_ne!(domain(first), domain(second));
        for lost in [first, second] {
            let other = first + second - lost;
            let without_vm: Vec<u64> = vms.iter().copied().filter(|vm| *vm != lost).collect();
            assert!(choose_homes(7, &without_vm, domain).contains(&Some(other)));
            let is_left = |vm: &u64| domain(*vm) != domain(lost);
            let without_domain: Vec<u64> = vms.iter().copied().filter(is_left).collect();
            assert!(choose_homes(7, &without_domain, domain).contains(&Some(other)));
        }
        let [first, second] = choose_homes(7, &vms, |_| 1);
        assert!(first.is_some() && first != second);
    }
    assert_eq!(choose_homes(7, &[3], domain), [Some(3), Some(3)]);
    assert_eq!(choose_homes(7, &[], domain), [None, None]);
}

#[test]
fn fleet_size_grows_at_once_and_shrinks_late() {
    let mut size = FleetSize::new();
    size.observe(120, Time::ZERO);
    size.observe(10, Time::from_secs(1));
    size.observe(11, Time::from_secs(100));
    assert_eq!(size.get(), 120);
    size.observe(10, Time::from_secs(122));
    assert_eq!(size.get(), 11);
    assert!(LEASE < Duration::from_secs(120));
}
