//! What operators and callers do.

use super::*;

impl World {
    /// Publishes a configuration value as the root operator, on top of the present version.
    pub fn put(&mut self, path: &str, value: &str) -> u64 {
        let expected = self.version(path);
        self.put_at(path, Some(value), expected)
    }

    /// Deletes a configuration value.
    pub fn delete(&mut self, path: &str) -> u64 {
        let expected = self.version(path);
        self.put_at(path, None, expected)
    }

    /// Publishes a configuration change that was decided on a version.
    pub fn put_at(&mut self, path: &str, value: Option<&str>, expected: u64) -> u64 {
        let mut put = PutConfig {
            path: path.to_owned(),
            expected,
            value: value.map(str::to_owned),
            change: self.random.random(),
            signature: Vec::new(),
        };
        self.root.sign("root", &mut put);
        let record = Record::new("root", 0, 0, Body::PutConfig(put)).to_bytes();
        self.log.streams.append(CONTROL_STREAM, vec![record])
    }

    /// Publishes what most tests need: one organisation, one model, one route.
    pub fn configure(&mut self) {
        let fencing = self.options.fencing;
        let memory = self.options.memory;
        let pool =
            format!("kind = \"engine\"\nmemory_mib = {memory}\nslots = 4\nfencing = {fencing}\n");
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

    /// Publishes a model.
    pub fn put_model(&mut self, name: &str, memory: u64, max_replicas: u32) -> u64 {
        let value = format!(
            "version = \"1\"\nmemory_mib = {memory}\npool = \"engines\"\nmax_replicas = {max_replicas}\nkeep_warm_s = 3600\n"
        );
        self.put(&format!("/platform/models/{name}"), &value)
    }

    pub(super) fn version(&self, path: &str) -> u64 {
        let state = self.folded();
        state.config().get(path).map_or(0, |entry| entry.version)
    }

    /// Returns the state that the whole log folds to.
    pub fn folded(&self) -> State {
        let mut state = State::new(Genesis {
            root_key: self.root.public_hex(),
            shards: self.options.shards,
        });
        loop {
            let Ok(batch) = self.log.streams.read(CONTROL_STREAM, state.next()) else {
                // The first records are dropped: the node that has read furthest knows the rest.
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
                // Rejected records are part of every log.
                let _ = state.apply_bytes(offset, bytes);
            }
        }
    }

    /// Sends a call to an instance and returns its number.
    pub fn call(&mut self, name: &str, call: Call) -> u64 {
        self.last_call += 1;
        let number = self.last_call;
        let submission = match self.submission(name, &call) {
            Ok(submission) => submission,
            Err(refusal) => {
                self.audit.end(self.now, number, Finish::Refused(refusal));
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
            Err(refusal) => self.audit.end(now, number, Finish::Refused(refusal)),
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
            deadline: self.now + call.patience,
            prompt_tokens: 0,
            max_output: call.reserved,
            prefix: None,
        })
    }
}
