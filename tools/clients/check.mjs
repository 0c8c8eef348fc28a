// Checks that the unmodified official JavaScript client works; needs `npm install openai`.
// Usage: node check.mjs BASE_URL KEY MODEL
import assert from "node:assert/strict";
import OpenAI from "openai";

const [baseURL, apiKey, model] = process.argv.slice(2);
const client = new OpenAI({ baseURL, apiKey });
const messages = [{ role: "user", content: "Soup?" }];

const whole = await client.chat.completions.create({ model, messages, max_tokens: 3 });
assert.equal(whole.choices[0].message.content, "w0 w1 w2 ");
let text = "";
const stream = await client.chat.completions.create({ model, messages, max_tokens: 3, stream: true });
for await (const chunk of stream) text += chunk.choices[0]?.delta?.content ?? "";
assert.equal(text, "w0 w1 w2 ");
await assert.rejects(
  client.chat.completions.create({ model: "unknown", messages }),
  (error) => error.code === "model_not_found",
);
console.log("the JavaScript client works: whole, streamed, errors");
