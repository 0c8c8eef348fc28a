//! What processes do, step by step.

use super::*;

impl World {
    // Configuration is appended by `put_at` and stays: these tests are about claims.
    pub(super) fn expire_log(&mut self) {
        while let Some((at, _, _)) = self.log.ages.front()
            && *at <= self.now
        {
            if let Some((_, stream, end)) = self.log.ages.pop_front()
                && stream != CONTROL_STREAM
            {
                self.log.streams.expire(&stream, end);
            }
        }
    }

    pub(super) fn happen(&mut self, what: Happening) {
        match what {
            Happening::At(name, life, step) => {
                let Some(host) = self.hosts.get_mut(&name) else {
                    return;
                };
                if host.life != life {
                    return;
                }
                if host.paused {
                    host.held.push(step);
                } else {
                    self.step(&name, step);
                }
            }
            Happening::Order(name, ticket, server, order, life) => {
                self.take_order(&name, ticket, server, order, life);
            }
            Happening::Append(stream, records) => {
                self.log.streams.append(&stream, records);
            }
            Happening::Loaded(server, incarnation, replica) => {
                if let Some(engine) = self.engines.get_mut(&*server)
                    && engine.state.incarnation() == incarnation
                {
                    engine.state.end_load(replica);
                }
            }
        }
    }

    fn step(&mut self, name: &str, step: Step) {
        let now = self.now;
        match step {
            Step::Tick => {
                self.tell(name, |node| node.tick(now));
                self.after(TICK, name, Step::Tick);
            }
            Step::Read => self.begin_read(name),
            Step::ReadDone(began, result) => {
                let pause = if result.is_err() { 200 } else { 5 };
                self.finish_read(name, began, result);
                self.after(Duration::from_millis(pause), name, Step::Read);
            }
            Step::Appended(ticket, result) => {
                self.tell(name, |node| node.on_appended(now, ticket, result));
            }
            Step::ClaimsRead(stream, result) => {
                self.tell(name, |node| node.on_claims_read(now, &stream, result));
            }
            Step::Deliver(envelope) => self.tell(name, |node| node.on_message(now, *envelope)),
            Step::SendOrder(ticket, server, order, valid_until) => {
                self.send_order(name, ticket, server, order, valid_until);
            }
            Step::OrderEnded(ticket, outcome) => {
                self.tell(name, |node| node.on_order_ended(now, ticket, outcome));
            }
            Step::Report(server, report) => {
                self.tell(name, |node| node.on_report(now, &server, report));
            }
            Step::AttemptEnded(request, attempt, end) => {
                self.note_answer(name, request, &end);
                self.tell(name, |node| {
                    node.on_attempt_ended(now, request, &attempt, end)
                });
            }
            Step::List => self.list(name),
        }
    }

    // A read waits for the next record; here it looks again after a while.
    fn begin_read(&mut self, name: &str) {
        let delay = self.delay();
        let began = self.now;
        let host = &self.hosts[name];
        if self.log.down || host.log_cut {
            let result = Err(ReadError::Unreachable);
            self.after(delay, name, Step::ReadDone(began, result));
            return;
        }
        let from = host.node.next_offset();
        let result = self.log.streams.read(CONTROL_STREAM, from);
        if let Ok(batch) = &result {
            self.log.bytes_read += batch.records.iter().map(Vec::len).sum::<usize>() as u64;
            if batch.records.is_empty() {
                let confirmed = host.node.next_offset() >= batch.end;
                let wait = Duration::from_millis(10).min(READ_WAIT);
                // An empty answer is passed on so that it confirms the view.
                if confirmed {
                    self.after(delay + wait, name, Step::ReadDone(began, result));
                    return;
                }
            }
        }
        self.after(delay, name, Step::ReadDone(began, result));
    }

    fn finish_read(&mut self, name: &str, began: Instant, result: Result<LogBatch, ReadError>) {
        let now = self.now;
        let mut expired = false;
        self.tell(name, |node| {
            expired = node.on_control_read(now, began, result)
        });
        if expired && let Ok(batch) = self.log.streams.read(CHECKPOINT_STREAM, 1) {
            for chunk in batch.records {
                self.tell(name, |node| {
                    node.on_checkpoint_chunk(now, &chunk);
                });
            }
        }
    }

    fn list(&mut self, name: &str) {
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
        self.tell(name, |node| node.on_instances(now, &contacts));
        self.tell(name, |node| node.on_servers(now, servers));
        self.after(Duration::from_secs(1), name, Step::List);
    }

    pub(super) fn tell<F>(&mut self, name: &str, tell: F)
    where
        F: FnOnce(&mut Node),
    {
        if let Some(host) = self.hosts.get_mut(name) {
            tell(&mut host.node);
            self.take_actions(name);
        }
    }

    pub(super) fn take_actions(&mut self, name: &str) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let actions = host.node.take_actions();
        for action in actions {
            self.act(name, action);
        }
    }

    fn act(&mut self, name: &str, action: Action) {
        let delay = self.delay();
        match action {
            Action::Append {
                stream,
                ticket,
                records,
            } => self.append(name, &stream, ticket, records),
            Action::ReadClaims { stream, from } => {
                let cut = self.log.down || self.hosts[name].log_cut;
                let result = if cut {
                    Err(ReadError::Unreachable)
                } else {
                    self.log.streams.read(&stream, from)
                };
                self.after(delay * 2, name, Step::ClaimsRead(stream, result));
            }
            Action::Send { to, envelope } => {
                self.messages += 1;
                self.bytes_sent += envelope.size() as u64;
                let pair = (name.to_owned(), to.id.to_string());
                if !self.cuts.contains(&pair) && self.hosts.contains_key(&*to.id) {
                    self.after(delay, &to.id, Step::Deliver(Box::new(envelope)));
                }
            }
            Action::Order {
                ticket,
                server,
                order,
                valid_until,
                ..
            } => {
                let step = Step::SendOrder(ticket, server, order, valid_until);
                self.after(Duration::ZERO, name, step);
            }
            Action::Poll { server, .. } => {
                let report = self.report(&server);
                self.after(delay * 2, name, Step::Report(server, report));
            }
            Action::Dispatch(dispatch) => self.dispatch(name, &dispatch),
            Action::Refuse { request, refusal } => {
                self.end_call(name, request, Finish::Refused(refusal));
            }
            Action::Replay { request, .. } => self.end_call(name, request, Finish::Replayed),
            Action::Event(event) => self.events.push(event),
        }
    }

    fn append(&mut self, name: &str, stream: &str, ticket: u64, records: Vec<Vec<u8>>) {
        let delay = self.delay();
        if self.log.down || self.hosts[name].log_cut {
            let result = Err(AppendError::NotAppended);
            self.after(delay, name, Step::Appended(ticket, result));
            return;
        }
        if !self.log.delay.is_zero() {
            let landing = Happening::Append(stream.to_owned(), records);
            self.push(self.now + self.log.delay, landing);
            let result = Err(AppendError::Unknown);
            self.after(APPEND_TIMEOUT, name, Step::Appended(ticket, result));
            return;
        }
        self.log.appends += 1;
        let offset = self.log.streams.append(stream, records);
        let kept_until = self.now + self.options.retention;
        let end = self.log.streams.end(stream);
        self.log
            .ages
            .push_back((kept_until, stream.to_owned(), end));
        if self.log.lose_replies > 0 {
            self.log.lose_replies -= 1;
            let result = Err(AppendError::Unknown);
            self.after(APPEND_TIMEOUT, name, Step::Appended(ticket, result));
        } else {
            self.after(delay, name, Step::Appended(ticket, Ok(offset)));
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
            let step = Step::OrderEnded(ticket, OrderOutcome::Failed);
            self.after(Duration::ZERO, name, step);
            return;
        }
        let at = self.now + self.delay() + self.order_delay;
        let life = self.hosts[name].life;
        let what = Happening::Order(name.to_owned(), ticket, server, order, life);
        self.push(at, what);
    }

    fn take_order(
        &mut self,
        name: &str,
        ticket: u64,
        server: ServerId,
        order: EngineOrder,
        life: u64,
    ) {
        let load = self.options.load;
        let delay = self.delay();
        let decided = self.is_decided(order.replica);
        let Some(engine) = self
            .engines
            .get_mut(&*server)
            .filter(|engine| engine.answers())
        else {
            self.reply(name, life, delay, ticket, OrderOutcome::Failed);
            return;
        };
        let (outcome, pause) = match order.kind {
            OrderKind::Load => match engine.state.begin_load(&order) {
                Ok(begun) => {
                    if begun && !decided {
                        let what = format!("replica {} was loaded undecided", order.replica);
                        self.audit.breaks(what);
                    }
                    (OrderOutcome::Done, load)
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
            let loaded = Happening::Loaded(server, incarnation, order.replica);
            self.push(self.now + pause, loaded);
        }
        let outcome = if lost { OrderOutcome::Unknown } else { outcome };
        self.reply(name, life, pause + delay, ticket, outcome);
    }

    fn reply(&mut self, name: &str, life: u64, delay: Duration, ticket: u64, end: OrderOutcome) {
        let what = Happening::At(name.to_owned(), life, Step::OrderEnded(ticket, end));
        self.push(self.now + delay, what);
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
        let engine = self.engines.get(server).filter(|engine| engine.answers())?;
        Some(ServerReport {
            incarnation: engine.state.incarnation(),
            replicas: engine.state.replicas(),
            requests: engine.state.running(),
            load_age: Duration::ZERO,
            leaving: engine.leaving,
            cached: Vec::new(),
        })
    }

    fn dispatch(&mut self, name: &str, dispatch: &Dispatch) {
        let delay = self.delay();
        let Some(number) = self.hosts[name].calls.get(&dispatch.request).copied() else {
            return;
        };
        let call = self.calls[&number].clone();
        let end = self.run_call(number, &call, dispatch);
        let pause = match end {
            AttemptOutcome::Answered { .. } => self.options.run,
            _ => Duration::ZERO,
        };
        let step = Step::AttemptEnded(dispatch.request, dispatch.attempt.clone(), end);
        self.after(delay * 2 + pause, name, step);
    }

    fn run_call(&mut self, number: u64, call: &Call, dispatch: &Dispatch) -> AttemptOutcome {
        if let Some(replica) = dispatch.replica {
            let engine = self.engines.get(&*dispatch.server);
            let Some(engine) = engine.filter(|engine| engine.answers()) else {
                return AttemptOutcome::NotRun { unreachable: true };
            };
            if !engine.state.is_loaded(replica) {
                return AttemptOutcome::NotRun { unreachable: true };
            }
        }
        *self.audit.call_runs.entry(number).or_default() += 1;
        if let Some(key) = &call.key {
            let runs = self.audit.runs.entry(key.clone()).or_default();
            *runs += 1;
            let runs = *runs;
            if runs > 1 {
                self.audit.breaks(format!("key {key} ran {runs} times"));
            }
        }
        self.audit.spent.push(Spent {
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

    fn note_answer(&mut self, name: &str, request: RequestId, end: &AttemptOutcome) {
        if matches!(end, AttemptOutcome::Answered { .. }) {
            self.end_call(name, request, Finish::Answered);
        }
    }

    fn end_call(&mut self, name: &str, request: RequestId, finish: Finish) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        if let Some(number) = host.calls.remove(&request) {
            self.audit.end(now, number, finish);
        }
    }

    pub(super) fn check_engines(&mut self) {
        for (name, engine) in &self.engines {
            if engine.state.used() > self.options.memory {
                let used = engine.state.used();
                self.audit.breaks(format!("{name} holds {used} MiB"));
            }
        }
        // Leases lapse by time, so a look every few milliseconds sees each overlap.
        if self.now < self.next_check {
            return;
        }
        self.next_check = self.now + CHECK_PERIOD;
        for shard in 0..self.options.shards {
            let holders = self.holders(shard);
            if holders.len() > 1 {
                self.audit
                    .breaks(format!("shard {shard} is held by {holders:?}"));
            }
        }
    }

    pub(super) fn delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(200..1500))
    }

    pub(super) fn after(&mut self, delay: Duration, name: &str, step: Step) {
        let Some(host) = self.hosts.get(name) else {
            return;
        };
        let what = Happening::At(name.to_owned(), host.life, step);
        self.push(self.now + delay, what);
    }

    pub(super) fn push(&mut self, at: Instant, what: Happening) {
        self.last_number += 1;
        self.queue.push(Queued {
            at,
            number: self.last_number,
            what,
        });
    }
}
