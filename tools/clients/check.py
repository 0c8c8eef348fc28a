"""Checks that the unmodified official Python client works; needs `pip install openai`.

Usage: check.py BASE_URL KEY MODEL
"""

import sys

from openai import AuthenticationError, NotFoundError, OpenAI

base_url, key, model = sys.argv[1:4]
client = OpenAI(base_url=base_url, api_key=key)
messages = [{"role": "user", "content": "Soup?"}]

assert model in [entry.id for entry in client.models.list()]
whole = client.chat.completions.create(model=model, messages=messages, max_tokens=3)
assert whole.choices[0].message.content == "w0 w1 w2 ", whole
stream = client.chat.completions.create(
    model=model, messages=messages, max_tokens=3, stream=True, stream_options={"include_usage": True}
)
chunks = list(stream)
text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks if chunk.choices)
assert text == "w0 w1 w2 ", text
assert chunks[-1].usage.completion_tokens == 3, chunks[-1]
plain = client.completions.create(model=model, prompt="Soup", max_tokens=2)
assert plain.choices[0].text == "w0 w1 ", plain
try:
    client.chat.completions.create(model="unknown", messages=messages)
    raise SystemExit("an unknown model was served")
except NotFoundError as error:
    assert error.code == "model_not_found", error
try:
    OpenAI(base_url=base_url, api_key="wrong", max_retries=0).models.list()
    raise SystemExit("a wrong key was honoured")
except AuthenticationError as error:
    assert error.code == "invalid_api_key", error
print("the Python client works: models, whole, streamed, plain, errors")
