"""A small manifest, with the fields and figures of the examples of the users' pages."""

HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"
TENANT = "hule930"
ENGINES, PLAIN = "huvo11a", "wuno96b"
STREAM, RESUMABLE, ORDERS, VIEWS = "/lohu930/", "/pufi791/", "/puxa403/", "/cufi504/"

MODELS = {
    name: {"name": name, "weights-mb": 72700.0, "load-time-s": 9.0, "adapters": adapters,
           "adapter-size-mb": 66.0, "warm-s": 1.2, "disk-s": 0.7}
    for name, adapters in [("daka510000", 28), ("rada7437b5", 26), ("ravo486f6a", 18),
                           ("nymi57a71f", 16), ("gopu49ded4", 15), ("base151689", 13),
                           ("xada684e3e", 12), ("puvo87bda8", 11), ("davo3f55d", 10),
                           ("kade1464c7", 9)]
}


def route(name, prefix, kind, service, timeout, target, attempts, **more):
    return {"name": name, "host": HOST, "path-prefix": prefix, "kind": kind, "timeout-ms": timeout,
            "target-latency-ms": target, "priority": 1, "service": service,
            "max-attempts": attempts, "anonymous": False, **more}


def manifest(version=7, models=MODELS, weights_mb=230000.0):
    """Returns the manifest in full, as it lies in the store."""
    stream = {"sticky": True, "gap-target-ms": 300}
    engine = {"slots": 64, "kv-capacity-tokens": 133831, "models": list(models.values()),
              "weights-mb": weights_mb, "adapter-slots": 8, "loads-per-s": 2.1}
    return {
        "version": version,
        "routes": [
            route("r-stream", STREAM, "streaming", ENGINES, 15000, 1000, 1, resumable=False, **stream),
            route("r-resumable", RESUMABLE, "streaming", ENGINES, 35000, 4000, 2, resumable=True,
                  **stream),
            route("r-orders", ORDERS, "non_idempotent", PLAIN, 1200, 150, 1),
            route("r-views", VIEWS, "idempotent", PLAIN, 1200, 150, 2),
        ],
        "services": [
            {"name": ENGINES, "health-path": "/health", "max-conns": 370, "protocol": "h1",
             "tls": False, "engine": engine},
            {"name": PLAIN, "health-path": "/health", "max-conns": 110, "protocol": "h1",
             "tls": False},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1, "unit": "token_count",
                     "plain-tokens": 200, "rate-per-s": 2824600, "burst": 2824600}],
    }
