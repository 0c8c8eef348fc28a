//! Handling of events and of the actions that nodes return.

use super::*;

impl Simulation {
    // Drops expired records. The control stream keeps all of its records, including the
    // configuration that `put_at_version` appends; the tests with expiry are about claims.
    pub(super) fn expire_log(&mut self) {
        while let Some((at, _, _)) = self.log.expiries.front()
            && *at <= self.now
        {
            if let Some((_, stream, end)) = self.log.expiries.pop_front()
                && stream != CONTROL_STREAM
            {
                self.log.streams.expire(&stream, end);
            }
        }
    }

    pub(super) fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Process(name, generation, event) => {
                let Some(host) = self.hosts.get_mut(&name) else {
                    return;
                };
                if host.generation != generation {
                    return;
                }
                if host.paused {
                    host.deferred.push(event);
                } else {
                    self.handle_process_event(&name, event);
                }
            }
            SimEvent::Order(name, ticket, server, order, generation) => {
                self.receive_order(&name, ticket, server, order, generation);
            }
            SimEvent::Append(stream, records) => {
                self.log.streams.append(&stream, records);
            }
            SimEvent::Loaded(server, incarnation, replica) => {
                if let Some(engine) = self.engines.get_mut(&*server)
                    && engine.state.incarnation() == incarnation
                {
                    engine.state.end_load(replica);
                }
            }
        }
    }

    fn handle_process_event(&mut self, name: &str, event: ProcessEvent) {
        let now = self.now;
        match event {
            ProcessEvent::Tick => {
                self.with_node(name, |node| node.tick(now));
                self.schedule_after(TICK, name, ProcessEvent::Tick);
            }
            ProcessEvent::Read => self.begin_read(name),
            ProcessEvent::ReadDone(began, result) => {
                let pause = if result.is_err() { 200 } else { 5 };
                self.finish_read(name, began, result);
                self.schedule_after(Duration::from_millis(pause), name, ProcessEvent::Read);
            }
            ProcessEvent::Appended(ticket, result) => {
                self.with_node(name, |node| node.on_appended(now, ticket, result));
            }
            ProcessEvent::ClaimsRead(stream, result) => {
                self.with_node(name, |node| node.on_claims_read(now, &stream, result));
            }
            ProcessEvent::Deliver(envelope) => {
                self.with_node(name, |node| node.on_message(now, *envelope))
            }
            ProcessEvent::SendOrder(ticket, server, order, valid_until) => {
                self.send_order(name, ticket, server, order, valid_until);
            }
            ProcessEvent::OrderEnded(ticket, outcome) => {
                self.with_node(name, |node| node.on_order_ended(now, ticket, outcome));
            }
            ProcessEvent::Report(server, report) => {
                self.with_node(name, |node| node.on_report(now, &server, report));
            }
            ProcessEvent::AttemptEnded(request, attempt, outcome) => {
                self.record_answer(name, request, &outcome);
                self.with_node(name, |node| {
                    node.on_attempt_ended(now, request, &attempt, outcome)
                });
            }
            ProcessEvent::ServerLimit(server, response) => {
                self.with_node(name, |node| node.on_server_limit(now, &server, response));
            }
            ProcessEvent::List => self.refresh_lists(name),
        }
    }

    // A real read waits until the next record is appended. Here, an empty read is repeated after a
    // short time.
    fn begin_read(&mut self, name: &str) {
        let delay = self.network_delay();
        let began = self.now;
        let host = &self.hosts[name];
        if self.log.down || host.log_partitioned {
            let result = Err(ReadError::Unreachable);
            self.schedule_after(delay, name, ProcessEvent::ReadDone(began, result));
            return;
        }
        let from = host.node.next_offset();
        let result = self.log.streams.read(CONTROL_STREAM, from);
        if let Ok(batch) = &result {
            self.log.bytes_read += batch.records.iter().map(Vec::len).sum::<usize>() as u64;
            if batch.records.is_empty() {
                let confirmed = host.node.next_offset() >= batch.end;
                let wait = Duration::from_millis(10).min(READ_WAIT);
                // An empty batch is passed to the node, because it confirms that its view is
                // current.
                if confirmed {
                    self.schedule_after(delay + wait, name, ProcessEvent::ReadDone(began, result));
                    return;
                }
            }
        }
        self.schedule_after(delay, name, ProcessEvent::ReadDone(began, result));
    }

    fn finish_read(&mut self, name: &str, began: Instant, result: Result<LogBatch, ReadError>) {
        let now = self.now;
        let mut expired = false;
        self.with_node(name, |node| {
            expired = node.on_control_read(now, began, result)
        });
        if expired && let Ok(batch) = self.log.streams.read(CHECKPOINT_STREAM, 1) {
            for chunk in batch.records {
                self.with_node(name, |node| {
                    node.on_checkpoint_chunk(now, &chunk);
                });
            }
        }
    }

    fn refresh_lists(&mut self, name: &str) {
        let now = self.now;
        let contacts: Vec<Contact> = self.listed.iter().map(|id| contact(id)).collect();
        let engines = self.engines.iter().map(|(id, engine)| ListedServer {
            id: id.as_str().into(),
            address: id.clone(),
            zone: "zone-a".into(),
            pool: "engines".to_owned(),
            leaving: engine.leaving,
        });
        let services = (1..=self.options.services).map(|index| ListedServer {
            id: format!("service-{index}").into(),
            address: format!("service-{index}"),
            zone: "zone-a".into(),
            pool: "orders".to_owned(),
            leaving: false,
        });
        let servers = engines.chain(services).collect();
        self.with_node(name, |node| node.on_instances(now, &contacts));
        self.with_node(name, |node| node.on_servers(now, servers));
        self.schedule_after(Duration::from_secs(1), name, ProcessEvent::List);
    }

    pub(super) fn with_node<F>(&mut self, name: &str, update: F)
    where
        F: FnOnce(&mut Node),
    {
        if let Some(host) = self.hosts.get_mut(name) {
            update(&mut host.node);
            self.take_actions(name);
        }
    }

    pub(super) fn take_actions(&mut self, name: &str) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let actions = host.node.take_actions();
        for action in actions {
            self.execute(name, action);
        }
    }

    fn execute(&mut self, name: &str, action: Action) {
        let delay = self.network_delay();
        match action {
            Action::Append {
                stream,
                ticket,
                records,
            } => self.append(name, &stream, ticket, records),
            Action::ReadClaims { stream, from } => {
                let unreachable = self.log.down || self.hosts[name].log_partitioned;
                let result = if unreachable {
                    Err(ReadError::Unreachable)
                } else {
                    self.log.streams.read(&stream, from)
                };
                self.schedule_after(delay * 2, name, ProcessEvent::ClaimsRead(stream, result));
            }
            Action::Send { to, envelope } => {
                self.messages += 1;
                self.bytes_sent += envelope.size() as u64;
                let pair = (name.to_owned(), to.id.to_string());
                if !self.partitions.contains(&pair) && self.hosts.contains_key(&*to.id) {
                    self.schedule_after(delay, &to.id, ProcessEvent::Deliver(Box::new(envelope)));
                }
            }
            Action::Order {
                ticket,
                server,
                order,
                valid_until,
                ..
            } => {
                let event = ProcessEvent::SendOrder(ticket, server, order, valid_until);
                self.schedule_after(Duration::ZERO, name, event);
            }
            Action::Poll { server, .. } => {
                let is_cut = self.reaches_no_engine(name);
                let report = self.report(&server).filter(|_| !is_cut);
                self.schedule_after(delay * 2, name, ProcessEvent::Report(server, report));
            }
            Action::Dispatch(dispatch) => self.dispatch(name, &dispatch),
            Action::Refuse { request, refusal } => {
                self.finish_call(name, request, CallOutcome::Refused(refusal));
            }
            Action::Replay { request, .. } => {
                self.finish_call(name, request, CallOutcome::Replayed)
            }
            Action::Event(event) => self.events.push(event),
        }
    }

    fn append(&mut self, name: &str, stream: &str, ticket: u64, records: Vec<Vec<u8>>) {
        let delay = self.network_delay();
        if self.log.down || self.hosts[name].log_partitioned {
            let result = Err(AppendError::NotAppended);
            self.schedule_after(delay, name, ProcessEvent::Appended(ticket, result));
            return;
        }
        if !self.log.append_delay.is_zero() {
            let arrival = SimEvent::Append(stream.to_owned(), records);
            self.schedule(self.now + self.log.append_delay, arrival);
            let result = Err(AppendError::Unknown);
            self.schedule_after(APPEND_TIMEOUT, name, ProcessEvent::Appended(ticket, result));
            return;
        }
        self.log.appends += 1;
        let offset = self.log.streams.append(stream, records);
        let expires_at = self.now + self.options.retention;
        let end = self.log.streams.end(stream);
        self.log
            .expiries
            .push_back((expires_at, stream.to_owned(), end));
        if self.log.lose_replies > 0 {
            self.log.lose_replies -= 1;
            let result = Err(AppendError::Unknown);
            self.schedule_after(APPEND_TIMEOUT, name, ProcessEvent::Appended(ticket, result));
        } else {
            self.schedule_after(delay, name, ProcessEvent::Appended(ticket, Ok(offset)));
        }
    }

    fn send_order(
        &mut self,
        name: &str,
        ticket: u64,
        server: ServerId,
        order: EngineOrder,
        valid_until: Instant,
    ) {
        if self.now >= valid_until {
            let event = ProcessEvent::OrderEnded(ticket, OrderOutcome::Failed);
            self.schedule_after(Duration::ZERO, name, event);
            return;
        }
        let at = self.now + self.network_delay() + self.order_delay;
        let generation = self.hosts[name].generation;
        let event = SimEvent::Order(name.to_owned(), ticket, server, order, generation);
        self.schedule(at, event);
    }

    fn receive_order(
        &mut self,
        name: &str,
        ticket: u64,
        server: ServerId,
        order: EngineOrder,
        generation: u64,
    ) {
        let load_time = self.options.load_time;
        let delay = self.network_delay();
        let decided = self.is_decided(order.replica);
        let is_cut = self.reaches_no_engine(name);
        let Some(engine) = self
            .engines
            .get_mut(&*server)
            .filter(|engine| engine.is_reachable() && !is_cut)
        else {
            self.reply(name, generation, delay, ticket, OrderOutcome::Failed);
            return;
        };
        let (outcome, pause) = match order.kind {
            OrderKind::Load => match engine.state.begin_load(&order) {
                Ok(started) => {
                    if started && !decided {
                        let violation =
                            format!("replica {} was loaded without a decision", order.replica);
                        self.history.record_violation(violation);
                    }
                    (OrderOutcome::Done, load_time)
                }
                Err(_) => (OrderOutcome::Failed, Duration::ZERO),
            },
            OrderKind::Unload => match engine.state.unload(&order) {
                Ok(()) => (OrderOutcome::Done, Duration::ZERO),
                Err(_) => (OrderOutcome::Failed, Duration::ZERO),
            },
        };
        let incarnation = engine.state.incarnation();
        let lost = engine.lose_replies > 0;
        engine.lose_replies = engine.lose_replies.saturating_sub(1);
        if order.kind == OrderKind::Load && outcome == OrderOutcome::Done {
            let loaded = SimEvent::Loaded(server, incarnation, order.replica);
            self.schedule(self.now + pause, loaded);
        }
        let outcome = if lost { OrderOutcome::Unknown } else { outcome };
        self.reply(name, generation, pause + delay, ticket, outcome);
    }

    fn reply(
        &mut self,
        name: &str,
        generation: u64,
        delay: Duration,
        ticket: u64,
        outcome: OrderOutcome,
    ) {
        let event = SimEvent::Process(
            name.to_owned(),
            generation,
            ProcessEvent::OrderEnded(ticket, outcome),
        );
        self.schedule(self.now + delay, event);
    }

    fn reaches_no_engine(&self, name: &str) -> bool {
        let host = self.hosts.get(name);
        host.is_some_and(|host| host.engines_partitioned)
    }

    fn is_decided(&self, replica: u64) -> bool {
        let batch = self.log.streams.read(CONTROL_STREAM, replica);
        let record = batch
            .ok()
            .and_then(|batch| Record::from_bytes(batch.records.first()?));
        matches!(
            record.and_then(|record| record.body),
            Some(Body::DecideLoad(_))
        )
    }

    fn report(&self, server: &str) -> Option<ServerReport> {
        let engine = self
            .engines
            .get(server)
            .filter(|engine| engine.is_reachable())?;
        Some(ServerReport {
            incarnation: engine.state.incarnation(),
            replicas: engine.state.replicas(),
            requests: engine.state.running_requests(),
            load_age: Duration::ZERO,
            leaving: engine.leaving,
            cached: Vec::new(),
        })
    }

    fn dispatch(&mut self, name: &str, dispatch: &Dispatch) {
        let delay = self.network_delay();
        let Some(number) = self.hosts[name].calls.get(&dispatch.request).copied() else {
            return;
        };
        let call = self.calls[&number].clone();
        let outcome = if self.reaches_no_engine(name) {
            AttemptOutcome::NotRun { unreachable: true }
        } else {
            self.run_call(number, &call, dispatch)
        };
        let engine = self.engines.get(&*dispatch.server);
        let rate = engine.and_then(|engine| engine.limit);
        if rate.is_some() || dispatch.is_limited {
            let response = LimitResponse {
                sent_at: self.now,
                rate,
            };
            let event = ProcessEvent::ServerLimit(dispatch.server.clone(), response);
            self.schedule_after(delay * 2, name, event);
        }
        let run_time = match outcome {
            AttemptOutcome::Answered { .. } => self.options.request_time,
            _ => Duration::ZERO,
        };
        let event = ProcessEvent::AttemptEnded(dispatch.request, dispatch.attempt.clone(), outcome);
        self.schedule_after(delay * 2 + run_time, name, event);
    }

    fn run_call(&mut self, number: u64, call: &Call, dispatch: &Dispatch) -> AttemptOutcome {
        if let Some(replica) = dispatch.replica {
            let engine = self.engines.get(&*dispatch.server);
            let Some(engine) = engine.filter(|engine| engine.is_reachable()) else {
                return AttemptOutcome::NotRun { unreachable: true };
            };
            if !engine.state.is_loaded(replica) {
                return AttemptOutcome::NotRun { unreachable: true };
            }
        }
        let arrival = (dispatch.server.to_string(), self.now);
        self.history.arrivals.push(arrival);
        *self.history.call_runs.entry(number).or_default() += 1;
        if let Some(key) = &call.key {
            let runs = self.history.runs.entry(key.clone()).or_default();
            *runs += 1;
            let runs = *runs;
            if runs > 1 {
                self.history
                    .record_violation(format!("key {key} ran {runs} times"));
            }
        }
        self.history.token_uses.push(TokenUse {
            at: self.now,
            org: call.org.clone(),
            tokens: call.used,
        });
        let crashes = call.body.contains("crash") && dispatch.replica.is_some();
        if crashes {
            self.kill_engine(&dispatch.server);
            return AttemptOutcome::Disconnected { partial: false };
        }
        if call.body.contains("lost answer") {
            return AttemptOutcome::Disconnected { partial: false };
        }
        AttemptOutcome::Answered {
            answer: StoredAnswer {
                status: 200,
                content_type: "text/plain".to_owned(),
                body: Some(b"done".to_vec()),
            },
            used: Some(call.used),
        }
    }

    fn record_answer(&mut self, name: &str, request: RequestId, outcome: &AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::Answered { .. }) {
            self.finish_call(name, request, CallOutcome::Answered);
        }
    }

    fn finish_call(&mut self, name: &str, request: RequestId, outcome: CallOutcome) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if let Some(number) = host.calls.remove(&request) {
            self.history.record_outcome(now, number, outcome);
        }
    }

    pub(super) fn check_invariants(&mut self) {
        for (name, engine) in &self.engines {
            if engine.state.used_mib() > self.options.memory_mib {
                let used = engine.state.used_mib();
                self.history
                    .record_violation(format!("{name} uses {used} MiB, more than its memory"));
            }
        }
        // Leases expire with time, not only by events, so two holders of a shard are only found by
        // a check every few milliseconds.
        if self.now < self.next_check {
            return;
        }
        self.next_check = self.now + CHECK_PERIOD;
        for shard in 0..self.options.shards {
            let holders = self.holders(shard);
            if holders.len() > 1 {
                self.history
                    .record_violation(format!("shard {shard} has several holders: {holders:?}"));
            }
        }
    }

    pub(super) fn network_delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(200..1500))
    }

    pub(super) fn schedule_after(&mut self, delay: Duration, name: &str, event: ProcessEvent) {
        let Some(host) = self.hosts.get(name) else {
            return;
        };
        let event = SimEvent::Process(name.to_owned(), host.generation, event);
        self.schedule(self.now + delay, event);
    }

    pub(super) fn schedule(&mut self, at: Instant, event: SimEvent) {
        self.last_sequence += 1;
        self.queue.push(Scheduled {
            at,
            sequence: self.last_sequence,
            event,
        });
    }
}
