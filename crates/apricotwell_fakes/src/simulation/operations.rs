//! Operations of operators and clients.

use super::*;

impl Simulation {
    /// Publishes a configuration value as the root operator, based on its current version. Returns
    /// the offset of the record.
    pub fn put(&mut self, path: &str, value: &str) -> u64 {
        let expected = self.version(path);
        self.put_at_version(path, Some(value), expected)
    }

    /// Deletes a configuration value. Returns the offset of the record.
    pub fn delete(&mut self, path: &str) -> u64 {
        let expected = self.version(path);
        self.put_at_version(path, None, expected)
    }

    /// Publishes a change of a configuration value, `None` to delete it, that nodes apply only if
    /// its version is `expected`. Returns the offset of the record.
    pub fn put_at_version(&mut self, path: &str, value: Option<&str>, expected: u64) -> u64 {
        let mut put = PutConfig {
            path: path.to_owned(),
            expected,
            value: value.map(str::to_owned),
            change: self.random.random(),
            signature: Vec::new(),
        };
        self.root_key.sign("root", &mut put);
        let record = Record::new("root", 0, 0, Body::PutConfig(put)).to_bytes();
        self.log.streams.append(CONTROL_STREAM, vec![record])
    }

    /// Publishes the configuration that most tests use: two pools, one model, and one organisation
    /// with an API key.
    pub fn configure(&mut self) {
        let fencing = self.options.fencing;
        let memory_mib = self.options.memory_mib;
        let pool = format!(
            "kind = \"engine\"\nmemory_mib = {memory_mib}\nslots = 4\nfencing = {fencing}\n"
        );
        self.put("/platform/pools/engines", &pool);
        self.put("/platform/pools/orders", "kind = \"service\"\nslots = 16\n");
        self.put_model("model-a", 400, 1);
        self.put(
            "/platform/organisations/org-a",
            "rate = 100000\nburst = 1000000\nmodels = [\"*\"]\n",
        );
        let digest = KeyDigest::of_secret("secret of org-a").to_hex();
        self.put(
            "/teams/org-a/keys/main",
            &format!("digest = \"{digest}\"\n"),
        );
    }

    /// Publishes a model. Returns the offset of the record.
    pub fn put_model(&mut self, name: &str, memory_mib: u64, max_replicas: u32) -> u64 {
        let value = format!(
            "version = \"1\"\nmemory_mib = {memory_mib}\npool = \"engines\"\nmax_replicas = {max_replicas}\nkeep_warm_s = 3600\n"
        );
        self.put(&format!("/platform/models/{name}"), &value)
    }

    pub(super) fn version(&self, path: &str) -> u64 {
        let state = self.replay_log();
        state.config().get(path).map_or(0, |entry| entry.version)
    }

    /// Returns the state that results from replaying the control stream.
    pub fn replay_log(&self) -> State {
        let mut state = State::new(Genesis {
            root_key: self.root_key.public_hex(),
            shards: self.options.shards,
        });
        loop {
            let Ok(batch) = self.log.streams.read(CONTROL_STREAM, state.next()) else {
                // The first records have expired, so the state of the node that has read furthest
                // is used instead.
                let states = self.hosts.values().map(|host| host.node.state());
                return states
                    .max_by_key(|state| state.next())
                    .cloned()
                    .unwrap_or(state);
            };
            if batch.records.is_empty() {
                return state;
            }
            for (offset, bytes) in (batch.first..).zip(&batch.records) {
                // A log may contain rejected records, which every reader skips.
                let _ = state.apply_bytes(offset, bytes);
            }
        }
    }

    /// Sends a call to an instance and returns the call's number.
    pub fn call(&mut self, name: &str, call: Call) -> u64 {
        self.last_call += 1;
        let number = self.last_call;
        let submission = match self.submission(name, &call) {
            Ok(submission) => submission,
            Err(refusal) => {
                self.history
                    .record_outcome(self.now, number, CallOutcome::Refused(refusal));
                return number;
            }
        };
        self.calls.insert(number, call);
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else {
            return number;
        };
        match host.node.submit(now, submission) {
            Ok(id) => {
                host.calls.insert(id, number);
            }
            Err(refusal) => self
                .history
                .record_outcome(now, number, CallOutcome::Refused(refusal)),
        }
        self.take_actions(name);
        number
    }

    pub(super) fn submission(
        &self,
        name: &str,
        call: &Call,
    ) -> Result<Submission, apricotwell_types::Refusal> {
        let node = self.node(name);
        let digest = KeyDigest::of_secret(&format!("secret of {}", call.org));
        let holder = node.authenticate(self.now, &digest)?;
        let target = match call.target.strip_prefix("service ") {
            Some(pool) => Target::Service {
                route: pool.to_owned(),
                pool: pool.to_owned(),
            },
            None => Target::Model(node.resolve(&holder.org, &call.target)?),
        };
        Ok(Submission {
            body_digest: BodyDigest::of_body(&holder.org, call.body.as_bytes()),
            idempotency_key: call
                .key
                .as_ref()
                .map(|key| BodyDigest::of_body(&holder.org, key.as_bytes())),
            org: holder.org,
            api_key: Some(digest),
            target,
            class: call.class,
            deadline: self.now + call.timeout,
            prompt_tokens: 0,
            max_output: call.reserved,
            parts: call.parts.clone(),
            prefix: None,
        })
    }
}
