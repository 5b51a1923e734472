//! Homes and followers under loss, delay, doubling, reordering, pauses,
//! restarts and views that differ.

mod world;

use std::time::Duration;

use base::Outcome;
use world::spec;
use world::World;
use world::VMS;

/// Scripts tried for each property.
const SCRIPTS: usize = 3000;
/// The time in which everything has to have ended once the trouble is over.
const SETTLE: Duration = Duration::from_secs(5);

/// Runs `property` on generated scripts; `.cargo/config.toml` fixes the seed.
fn for_scripts(property: impl Fn(&[u8]) + std::panic::RefUnwindSafe) {
    bolero::check!()
        .with_iterations(SCRIPTS)
        .with_max_len(1200)
        .for_each(|script: &[u8]| property(script));
}

fn play(world: &mut World, script: &[u8], limit: usize) {
    for step in script.chunks_exact(2) {
        world.step(step[0], step[1]);
        world.check(limit);
    }
}

#[test]
fn grant_cold_servers_never_above_their_limit() {
    for_scripts(|script| {
        let mut world = World::new(spec(3, 1_000_000));
        world.settle(Duration::from_millis(60));
        play(&mut world, script, 1);
        world.settle(SETTLE);
        world.check(1);
    });
}

#[test]
fn acquire_every_call_ends_and_no_permit_leaks() {
    for_scripts(|script| {
        let mut world = World::new(spec(3, 2));
        play(&mut world, script, usize::MAX);
        world.settle(SETTLE);
        for vm in &world.vms {
            assert!(
                vm.follower.is_idle(),
                "a call hangs after {}",
                world.story()
            );
            assert_eq!(
                vm.asked,
                vm.ended,
                "a call was lost after {}",
                world.story()
            );
            if let Some(ledger) = vm.coordinator.ledger() {
                let left = ledger.permits().len();
                assert_eq!(left, 0, "{left} permits leaked after {}", world.story());
                assert_eq!(ledger.waiting(), 0);
            }
        }
    });
}

#[test]
fn settle_one_home_leads_all() {
    for_scripts(|script| {
        let mut world = World::new(spec(2, 2));
        play(&mut world, script, usize::MAX);
        world.settle(SETTLE * 3);
        for at in 0..VMS {
            world.acquire(at, Duration::from_secs(1));
        }
        world.settle(SETTLE);
        let homes: Vec<_> = world.vms.iter().map(|vm| vm.follower.home()).collect();
        assert!(homes[0].is_some());
        assert!(homes.iter().all(|home| *home == homes[0]), "{homes:?}");
    });
}

#[test]
fn acquire_limit_grows_to_the_slots_and_a_little() {
    let mut world = World::new(spec(3, 2));
    for _ in 0..100 {
        for at in 0..VMS {
            world.acquire(at, Duration::from_secs(2));
        }
        world.settle(Duration::from_millis(30));
        world.check(6);
    }
    for at in 0..VMS {
        for _ in 0..5 {
            world.acquire(at, Duration::from_secs(2));
        }
    }
    let before: u64 = world.vms.iter().map(|vm| vm.ended).sum();
    world.settle(Duration::from_millis(60));
    let after: u64 = world.vms.iter().map(|vm| vm.ended).sum();
    assert_eq!(after - before, 20);
}

#[test]
fn release_broken_closes_the_server_at_once() {
    let mut world = World::new(spec(3, 2));
    world.acquire(0, Duration::from_secs(2));
    for _ in 0..20 {
        world.step(15, 0);
    }
    let busy: Vec<_> = world
        .spec
        .servers
        .iter()
        .map(|s| world.in_flight(s.id))
        .collect();
    assert_eq!(busy.iter().sum::<usize>(), 1);
    let broken = world.spec.servers[busy.iter().position(|b| *b == 1).unwrap()].id;
    world.release(0, Outcome::Broken);
    for _ in 0..4 {
        world.acquire(0, Duration::from_secs(2));
        world.step(15, 0);
        world.step(15, 0);
        assert_eq!(world.in_flight(broken), 0);
    }
}

#[test]
fn tick_without_a_home_each_vm_uses_its_own_slots_only() {
    let mut world = World::new(spec(3, 2));
    for _ in 0..60 {
        for at in 0..VMS {
            world.acquire(at, Duration::from_secs(2));
        }
        world.settle(Duration::from_millis(30));
    }
    let at = world.home();
    world.pause(at);
    for vm in (0..VMS).filter(|vm| *vm != at) {
        for _ in 0..10 {
            world.acquire(vm, Duration::from_secs(2));
        }
    }
    for _ in 0..100 {
        world.tick(Duration::from_millis(3));
        // Each server has three slots, whoever uses them.
        world.check(3);
    }
    let alone: u64 = world
        .vms
        .iter()
        .map(|vm| vm.follower.fallback_count())
        .sum();
    assert!(alone > 0, "nobody used a slot of its own");
}

#[test]
fn tick_without_a_home_cold_servers_are_left_alone() {
    let mut world = World::new(spec(3, 1_000_000));
    world.settle(Duration::from_millis(60));
    for at in 0..VMS {
        world.acquire(at, Duration::from_secs(2));
    }
    world.settle(Duration::from_millis(60));
    let at = world.home();
    world.pause(at);
    for vm in (0..VMS).filter(|vm| *vm != at) {
        world.acquire(vm, Duration::from_secs(2));
    }
    for _ in 0..100 {
        world.tick(Duration::from_millis(3));
    }
    assert!(world.vms.iter().all(|vm| vm.follower.fallback_count() == 0));
}

/// Makes a world whose servers are warm, with three slots each.
fn warm_world() -> World {
    let mut world = World::new(spec(3, 2));
    for _ in 0..60 {
        for at in 0..VMS {
            world.acquire(at, Duration::from_secs(2));
        }
        world.settle(Duration::from_millis(30));
    }
    assert_eq!(burst(&mut world), [3, 3], "the servers are not warm");
    world.settle(Duration::from_millis(100));
    world
}

/// Lets all VMs ask at once; returns the calls at each server, of which as many
/// as wait in it beyond its slots are not counted.
fn burst(world: &mut World) -> Vec<usize> {
    for at in 0..VMS {
        for _ in 0..4 {
            world.acquire(at, Duration::from_secs(2));
        }
    }
    for _ in 0..10 {
        world.step(15, 0);
    }
    let servers = world.spec.servers.iter();
    servers.map(|s| world.in_flight(s.id).min(3)).collect()
}

#[test]
fn acquire_after_a_long_silence_servers_are_cold() {
    let mut world = warm_world();
    world.settle(Duration::from_secs(5));
    assert_eq!(burst(&mut world), [1, 1]);
}

#[test]
fn acquire_after_a_short_silence_servers_are_warm() {
    let mut world = warm_world();
    world.settle(Duration::from_secs(2));
    assert_eq!(burst(&mut world), [3, 3]);
}

#[test]
fn set_spec_returning_servers_are_cold() {
    let mut world = warm_world();
    world.set_open(false);
    world.settle(Duration::from_millis(500));
    world.set_open(true);
    assert_eq!(burst(&mut world), [1, 1]);
}

#[test]
fn lost_connection_makes_the_server_cold_although_messages_are_lost() {
    let mut world = warm_world();
    let server = world.spec.servers[0].id;
    world.lost(1, server);
    world.lose_all();
    world.tick(Duration::from_millis(20));
    world.step(15, 0);
    assert_eq!(burst(&mut world), [1, 3]);
}

#[test]
fn lost_connection_is_known_to_the_next_home() {
    let mut world = warm_world();
    let server = world.spec.servers[0].id;
    let at = world.home();
    let other = (at + 1) % VMS;
    world.pause(at);
    world.lost(other, server);
    world.lose_all();
    // The paused home is silent until all have turned to another one.
    world.all_lead_without(at);
    for vm in (0..VMS).filter(|vm| *vm != at) {
        for _ in 0..4 {
            world.acquire(vm, Duration::from_secs(20));
        }
    }
    for _ in 0..30 {
        world.step(15, 0);
        assert!(world.in_flight(server) <= 1, "{}", world.story());
    }
}

#[test]
fn acquire_after_the_home_vanished_warm_servers_bear_all_they_did() {
    let mut world = warm_world();
    let at = world.home();
    world.pause(at);
    world.all_lead_without(at);
    for _ in 0..4 {
        world.step(15, 0);
    }
    assert_eq!(burst(&mut world), [3, 3]);
}

#[test]
fn release_before_the_last_home_is_heard_leaves_the_server_warm() {
    let mut world = warm_world();
    let at = world.home();
    let others: Vec<_> = (0..VMS).filter(|vm| *vm != at).collect();
    let ids: Vec<_> = others.iter().map(|vm| world.vms[*vm].id).collect();
    let next = base::rendezvous::first(world.spec.shard, &ids).unwrap();
    let early = *others.iter().find(|vm| world.vms[**vm].id != next).unwrap();
    world.acquire(early, Duration::from_secs(2));
    for _ in 0..4 {
        world.step(15, 0);
    }
    world.pause(at);
    world.all_lead_without(at);
    // One VM follows the new home and ends its call before the others do.
    world.acquire(early, Duration::from_secs(2));
    world.deliver_between(early);
    world.release(early, Outcome::Done);
    world.deliver_between(early);
    for _ in 0..4 {
        world.step(15, 0);
    }
    assert_eq!(burst(&mut world), [3, 3]);
}

#[test]
fn set_fleet_home_that_most_left_behind_uses_no_cold_server() {
    let mut world = World::new(spec(3, 1_000_000));
    world.settle(Duration::from_millis(60));
    for at in 0..VMS {
        world.acquire(at, Duration::from_secs(2));
    }
    world.settle(Duration::from_millis(60));
    let at = world.home();
    for other in (0..VMS).filter(|vm| *vm != at).take(2) {
        world.lead_without(at, other);
    }
    assert!(!world.vms[at].coordinator.ledger().unwrap().is_complete());
    world.acquire(at, Duration::from_secs(2));
    for _ in 0..20 {
        world.step(15, 0);
        let servers = world.spec.servers.iter();
        let busy: usize = servers.map(|s| world.in_flight(s.id)).sum();
        assert_eq!(busy, 0, "a cold server was used");
    }
}

#[test]
fn set_fleet_permits_of_a_silent_vm_end_with_their_calls() {
    let mut world = warm_world();
    let at = world.home();
    let silent = (at + 1) % VMS;
    for _ in 0..3 {
        world.acquire(silent, Duration::from_secs(60));
    }
    for _ in 0..4 {
        world.step(15, 0);
    }
    let permits = |world: &World| world.vms[at].coordinator.ledger().unwrap().permits().len();
    assert_eq!(permits(&world), 3);
    world.pause(silent);
    world.lead_without(at, silent);
    // The servers take 10 ms for a call.
    for _ in 0..4 {
        world.step(15, 0);
    }
    assert_eq!(permits(&world), 0);
}
