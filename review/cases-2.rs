// The scripts of cases 6 to 10; included by standins-2.rs.

fn run_case(name: &str, world: &World) -> i32 {
    match name {
        "slow-head" => slow_head(world),
        "pipelined" => pipelined(world),
        "names" => names(world),
        "late-check" => late_check(world),
        "relayed" => relayed(world),
        _ => unable("no such case"),
    }
}

/// A caller sends the first bytes of its requests one by one.
fn slow_head(world: &World) -> i32 {
    world.servers("avail", |_| Plan::new(20, 5000));
    world.servers("reserve", |_| Plan::new(20, 1500));
    world.servers("studio-admin", |_| Plan::new(20, 400));
    let mut fleet = Fleet::new(&ZONES, world.address, false);
    fleet.start(&world.record);
    if !fleet.wait_until_serving(HOST, "/slot-check/1", Duration::from_secs(20)) {
        unable("the fleet does not serve");
    }
    thread::sleep(Duration::from_secs(3));
    let (mut foreign, mut answered) = (0, 0);
    for number in 0..12 {
        let id = format!("pay{number}");
        let request = post(&format!("/hold-pay/{number}"), &id, 1200);
        let vm = &fleet.vms[number % fleet.vms.len()];
        let mut conn = Conn::connect(vm.front).unwrap_or_else(|e| unable(&e.to_string()));
        conn.limit(Duration::from_secs(2));
        world.record.note(&format!("sent {id} to {}", vm.name));
        let slow = if world.trouble { 8 } else { 0 };
        for byte in request.as_bytes()[..slow].chunks(1) {
            let _ = conn.stream.write_all(byte);
            thread::sleep(Duration::from_millis(20));
        }
        let _ = conn.stream.write_all(&request.as_bytes()[slow..]);
        match conn.read() {
            Ok(Some(response)) if response.start.starts_with("HTTP/1.1 ") => {
                answered += 1;
                world.record.note(&format!("answer to {id}: {}", response.start));
            }
            Ok(Some(response)) => {
                foreign += 1;
                world.record.note(&format!("no answer in the protocol to {id}: {:?}", response.start));
            }
            Ok(None) => world.record.note(&format!("{id}: closed without an answer")),
            Err(error) => {
                foreign += usize::from(!error.contains("after 0 bytes"));
                world.record.note(&format!("no answer in the protocol to {id}: {error}"));
            }
        }
    }
    let text = format!("of 12 requests {answered} got an answer, {foreign} got bytes that are none");
    world.end(foreign > 0, &text)
}


/// A caller sends further requests behind one whose answer is large, and the server of that
/// answer breaks two answers in a hundred off.
fn pipelined(world: &World) -> i32 {
    const ROUNDS: usize = 100;
    const BEHIND: usize = 6;
    const LARGE: usize = 600_000;
    let trouble = world.trouble;
    world.servers("avail", move |request| {
        let mut plan = Plan::new(40, if request.path().contains("large") { LARGE } else { 400 });
        // Two in a hundred.
        let breaks = request.path().ends_with("-33") || request.path().ends_with("-66");
        plan.cut = (trouble && breaks).then_some(LARGE - 20_000);
        plan
    });
    world.servers("reserve", |_| Plan::new(10, 400));
    world.servers("studio-admin", |_| Plan::new(10, 400));
    let mut fleet = Fleet::new(&ZONES, world.address, false);
    fleet.start(&world.record);
    if !fleet.wait_until_serving(HOST, "/slot-check/1", Duration::from_secs(20)) {
        unable("the fleet does not serve");
    }
    thread::sleep(Duration::from_secs(3));
    let mut lost = 0;
    let mut answered = 0;
    for round in 0..ROUNDS {
        let vm = &fleet.vms[round % fleet.vms.len()];
        let mut conn = Conn::connect(vm.front).unwrap_or_else(|e| unable(&e.to_string()));
        conn.limit(Duration::from_secs(3));
        // The connection is kept.
        let first = get(HOST, "/usage-report/1", &format!("kept{round}"), 1200);
        let _ = conn.stream.write_all(first.as_bytes());
        if !matches!(conn.read(), Ok(Some(response)) if response.status() == 200) {
            unable("a request without disruption has no answer");
        }
        let mut text = get(HOST, &format!("/slot-check/large-{round}"), &format!("large{round}"), 1000);
        let small: Vec<String> = (0..BEHIND).map(|n| format!("small{round}-{n}")).collect();
        for id in &small {
            text += &get(HOST, &format!("/gear-log/{id}"), id, 2000);
        }
        let _ = conn.stream.write_all(text.as_bytes());
        let mut missing: Vec<&str> = vec!["large"];
        missing.extend(small.iter().map(String::as_str));
        while !missing.is_empty() {
            match conn.read() {
                Ok(Some(response)) if response.status() == 200 => drop(missing.remove(0)),
                Ok(Some(response)) => {
                    world.record.note(&format!("round {round}: {} for {}", response.start, missing[0]));
                    missing.remove(0);
                }
                Ok(None) => break,
                Err(error) => {
                    world.record.note(&format!("round {round}: {error}"));
                    break;
                }
            }
        }
        answered += 1 + BEHIND - missing.len();
        if !missing.is_empty() {
            world.record.note(&format!("round {round}: the connection ended without answers to {missing:?}"));
        }
        let behind = missing.iter().filter(|id| **id != "large");
        lost += behind.filter(|id| world.record.has_run(id)).count();
    }
    let asked = ROUNDS * (1 + BEHIND);
    let text = format!(
        "{answered} of {asked} requests were answered; {lost} were passed on from a kept connection to a sound server and got none (allowed: 3)"
    );
    world.end(lost > 3, &text)
}

/// Another department registers its own servers in the store, with ordinary or with awkward
/// names; then all VMs are killed and come back.
fn names(world: &World) -> i32 {
    const FOREIGN: usize = 600;
    const RECOVERY: Duration = Duration::from_secs(15);
    for service in ["avail", "reserve", "studio-admin"] {
        world.servers(service, |_| Plan::new(20, 400));
    }
    let mut fleet = Fleet::new(&ZONES, world.address, false);
    fleet.start(&world.record);
    if !fleet.wait_until_serving(HOST, "/slot-check/1", Duration::from_secs(20)) {
        unable("the fleet does not serve");
    }
    let department = if world.trouble { "R&D" } else { "RnD" };
    for number in 0..FOREIGN {
        let spec = format!(
            "{{\"address\":\"127.0.0.1:9\",\"info\":{{\"service\":\"bench\",\"version\":\"v1\",\"zone\":\"lab\",\"slots\":1}},\"status\":{{\"state\":\"ready\",\"seq\":1,\"cold_left_s\":0}},\"born\":1}}"
        );
        world.store.put("servers", &format!("{department}-bench-{number:04}"), &spec);
    }
    world.record.note(&format!("another writer has registered {FOREIGN} servers of its own as {department}-bench-0000 and so on"));
    thread::sleep(Duration::from_secs(3));
    let before = world.share_served(&fleet, 30, "before");
    fleet.kill(&world.record);
    thread::sleep(Duration::from_secs(1));
    let lists = world.lists.load(Ordering::Relaxed);
    fleet.start(&world.record);
    let back = Instant::now();
    while back.elapsed() < RECOVERY {
        thread::sleep(Duration::from_millis(100));
    }
    let after = world.share_served(&fleet, 60, "after");
    let lists = world.lists.load(Ordering::Relaxed) - lists;
    let memory = fleet.memory_mb();
    let ended = fleet.ended();
    let text = format!(
        "served {before:.2} of the requests before the kill, {after:.2} of those sent later than recovery_s after it; {lists} pages of servers were read since; memory of the VMs {memory:?} MB; ended by themselves: {ended:?}"
    );
    world.end(before >= 0.25 && after < 0.25, &text)
}

/// A server whose liveness check fails although it serves well sends some answers to such checks
/// once more, where the answer to a call is expected.
fn late_check(world: &World) -> i32 {
    const CALLERS: usize = 30;
    const SPAN: Duration = Duration::from_secs(100);
    world.store.put("config", "main", &config(9));
    for service in ["avail", "reserve", "studio-admin"] {
        for index in 0..7 {
            let faulty = world.trouble && index == 0;
            let traits = Traits { says_ill: faulty, extra_every: if faulty { 33 } else { 0 }, noisy: true };
            let id = format!("i-{service}-{index}");
            start_server(&world.store, &world.record, &id, service, ZONES[index % 3], traits, |_| Plan::new(60, 1500));
        }
    }
    let mut fleet = Fleet::new(&ZONES[..2], world.address, false);
    fleet.start(&world.record);
    if !fleet.wait_until_serving(HOST, "/slot-check/1", Duration::from_secs(20)) {
        unable("the fleet does not serve");
    }
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.front).collect();
    let refused: Arc<Mutex<Vec<String>>> = Arc::default();
    let counts: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    let callers = (0..CALLERS).map(|caller| {
        let (record, fronts) = (world.record.clone(), fronts.clone());
        let (refused, counts) = (refused.clone(), counts.clone());
        thread::spawn(move || {
            let begin = Instant::now();
            let mut number = caller;
            while begin.elapsed() < SPAN {
                number += CALLERS;
                let id = format!("pay{number}");
                let Ok(mut conn) = Conn::connect(fronts[number % fronts.len()]) else {
                    continue;
                };
                conn.limit(Duration::from_secs(2));
                let _ = conn.stream.write_all(post(&format!("/hold-pay/{number}"), &id, 1200).as_bytes());
                let status = conn.read().ok().flatten().map_or(0, |response| response.status());
                *counts.lock().unwrap().entry(status).or_default() += 1;
                if status != 200 {
                    record.note(&format!("answer to {id}: {status}"));
                }
                if [408, 421, 429, 503].contains(&status) {
                    refused.lock().unwrap().push(id);
                }
                thread::sleep(Duration::from_millis(60));
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    for caller in callers {
        let _ = caller.join();
    }
    thread::sleep(Duration::from_secs(2));
    let refused = refused.lock().unwrap();
    let run: Vec<&String> = refused.iter().filter(|id| world.record.has_run(id)).collect();
    for id in &run {
        world.record.note(&format!("{id} was answered as not run, and a server ran it"));
    }
    let text = format!(
        "answers by status {:?}; {} bookings were answered as not run, and servers ran {} of them (allowed: 0)",
        counts.lock().unwrap(),
        refused.len(),
        run.len()
    );
    world.end(!run.is_empty(), &text)
}

/// A VM that is cut off from all servers relays its calls; one of the VMs that take them stands
/// still while it passes answers on.
fn relayed(world: &World) -> i32 {
    const CALLS: usize = 30;
    const TIMEOUT: Duration = Duration::from_secs(2);
    const FREEZE: Duration = Duration::from_secs(4);
    for index in 0..12 {
        let id = format!("i-studio-admin-{index}");
        start_server(&world.store, &world.record, &id, "studio-admin", ZONES[index % 3], Traits::default(), |request| {
            let large = request.path().contains("large");
            let mut plan = Plan::new(10, if large { 200_000 } else { 400 });
            plan.pause = Duration::from_millis(if large { 100 } else { 0 });
            plan
        });
    }
    world.servers("avail", |_| Plan::new(20, 400));
    let mut fleet = Fleet::new(&ZONES, world.address, true);
    fleet.start(&world.record);
    if !fleet.wait_until_serving(HOST, "/slot-check/1", Duration::from_secs(20)) {
        unable("the fleet does not serve");
    }
    thread::sleep(Duration::from_secs(3));
    let front = fleet.vms[0].front;
    if world.trouble {
        fleet.cut(0, "refused");
        world.record.note("the first VM is cut off from all servers");
        thread::sleep(Duration::from_secs(1));
    }
    for number in 0..20 {
        let status = status_of(front, HOST, "/gear-log/small", &format!("before{number}"), 2000);
        world.record.note(&format!("before{number}: {status:?}"));
    }
    let calls = (0..CALLS).map(|number| {
        let record = world.record.clone();
        thread::spawn(move || {
            let id = format!("large{number}");
            let Ok(mut conn) = Conn::connect(front) else {
                return Duration::ZERO;
            };
            conn.limit(Duration::from_secs(20));
            let begin = Instant::now();
            let _ = conn.stream.write_all(get(HOST, "/gear-log/large", &id, 3000).as_bytes());
            let end = match conn.read() {
                Ok(Some(response)) => format!("{} with {} bytes", response.start, response.body.len()),
                Ok(None) => "closed".into(),
                Err(error) => error,
            };
            let took = begin.elapsed();
            record.note(&format!("{id} ended after {} ms: {end}", took.as_millis()));
            took
        })
    });
    let calls: Vec<_> = calls.collect();
    thread::sleep(Duration::from_millis(800));
    if world.trouble {
        fleet.signal(1, "STOP", &world.record);
        thread::sleep(FREEZE);
        fleet.signal(1, "CONT", &world.record);
    }
    let times: Vec<Duration> = calls.into_iter().filter_map(|call| call.join().ok()).collect();
    let longer = times.iter().filter(|time| **time > TIMEOUT).count();
    let late = times.iter().filter(|time| **time > TIMEOUT + Duration::from_millis(500)).count();
    let longest = times.iter().max().map_or(0, |time| time.as_millis());
    let text = format!(
        "of {CALLS} requests {longer} lasted longer than timeout_s, {late} had no final answer 0.5 s after it (allowed: 7, or a quarter); the longest took {longest} ms"
    );
    world.end(late >= 8 && late * 4 > longer, &text)
}
