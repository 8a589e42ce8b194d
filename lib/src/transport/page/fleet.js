"use strict";

/** Creates an element with text; data from hosts is never interpreted as markup. */
function element(tag, className, text) {
  const made = document.createElement(tag);
  if (className) made.className = className;
  if (text !== undefined) made.textContent = text;
  return made;
}

/** Formats a duration in milliseconds as a whole number of a suitable unit. */
function span(millis) {
  const seconds = Math.floor(millis / 1000);
  if (seconds < 1) return `${millis} ms`;
  if (seconds < 120) return `${seconds} s`;
  if (seconds < 7200) return `${Math.floor(seconds / 60)} min`;
  return `${Math.floor(seconds / 3600)} h`;
}

/** Formats a number of tokens with a unit prefix. */
function tokens(count) {
  if (count < 10000) return `${count}`;
  if (count < 1e6) return `${Math.round(count / 1000)}k`;
  return `${(count / 1e6).toFixed(1)}M`;
}

/** Shows the hosts that responded, and the other hosts as their peers report them. */
function showHosts(statuses) {
  const cards = statuses.map(hostCard);
  const answered = new Set(statuses.map((status) => status.host));
  const others = new Map();
  for (const status of statuses) {
    for (const peer of status.peers) {
      if (!answered.has(peer.host)) others.set(peer.host, peer);
    }
  }
  const rest = [...others.values()].sort((a, b) => a.host.localeCompare(b.host));
  document.getElementById("hosts").replaceChildren(...cards, ...rest.map(peerCard));
}

function hostCard(status) {
  const state = status.stopping ? "stopping" : status.ready ? "ready" : "not ready";
  const card = titled(status.host, state, state === "ready" ? "good" : "warn");
  card.append(
    element("p", "faint", `${status.zone}, up ${span(status.uptime_ms)}, incarnation ${status.incarnation}`),
    element("p", "", `configuration ${status.config.version} (${status.config.hash.slice(0, 8)}), in force ${span(status.config.age_ms)}`),
    element("p", "", `live list ${status.list_version}, ${status.open_requests} open requests, leads ${status.shards.length} shards`),
  );
  return card;
}

function peerCard(peer) {
  const colour = { alive: "good", stopping: "warn", suspected: "bad" }[peer.state];
  const card = titled(peer.host, peer.state, colour);
  card.append(
    element("p", "faint", `${peer.zone}, so for ${span(peer.since_ms)}, incarnation ${peer.incarnation ?? "never heard"}`),
    element("p", "", `configuration ${peer.config}, leads ${peer.shards.length} shards`),
  );
  return card;
}

function titled(name, state, colour) {
  const card = element("div", "card");
  const title = element("h3", "", name);
  title.append(element("span", colour, state));
  card.append(title);
  return card;
}

/** Shows each target once, with the load that its dispatcher reports. */
function showTargets(statuses) {
  const merged = new Map();
  for (const status of statuses) {
    for (const target of status.targets) {
      const known = merged.get(target.addr) ?? { ...target, avoided: [] };
      known.load ??= target.load;
      if (!target.takes_work) known.avoided.push(status.host);
      merged.set(target.addr, known);
    }
  }
  const sorted = [...merged.values()].sort((a, b) => a.name.localeCompare(b.name));
  document.getElementById("targets").replaceChildren(...sorted.map(targetCard));
}

function targetCard(target) {
  const avoided = target.avoided.length > 0;
  const state = target.listed === "leaving" ? "leaving" : avoided ? "avoided" : "live";
  const card = titled(target.name, state, state === "live" ? "good" : "warn");
  card.append(element("p", "faint", `${target.zone}, ${target.addr}`));
  if (target.dispatcher) card.append(element("p", "faint", `dispatched by ${target.dispatcher}`));
  if (avoided) card.append(element("p", "warn", `gets no new work from ${target.avoided.join(", ")}`));
  if (target.load) card.append(...loadLines(target.load));
  return card;
}

function loadLines(load) {
  const share = load.memory_tokens ? Math.min(1, load.held_tokens / load.memory_tokens) : 0;
  const bar = element("div", "bar");
  const held = element("i", share > 0.9 ? "full" : "held");
  held.style.width = `${share * 100}%`;
  bar.append(held);
  const memory = `${tokens(load.held_tokens)} of ${tokens(load.memory_tokens)} held, ${load.requests} requests`;
  const waiting = `to read: ${tokens(load.short_tokens)} short, ${tokens(load.long_tokens)} long`;
  const lines = [bar, element("p", "", memory), element("p", "", waiting)];
  if (!load.healthy) lines.push(element("p", "bad", "does not answer"));
  return lines;
}

/** Shows refused configurations, suspected peers and differing configuration versions. */
function showNotes(statuses) {
  const notes = [];
  for (const status of statuses) {
    const refused = status.config.refused;
    for (const error of refused?.errors ?? []) {
      notes.push(element("p", "bad", `${status.host} refused configuration ${refused.version}: ${error}`));
    }
    for (const peer of status.peers) {
      if (peer.state === "suspected") {
        notes.push(element("p", "bad", `${status.host} has not heard ${peer.host} for ${span(peer.since_ms)}`));
      }
    }
  }
  const versions = new Set(statuses.map((status) => status.config.version));
  if (versions.size > 1) notes.push(element("p", "warn", `configurations in force: ${[...versions].join(", ")}`));
  document.getElementById("notes").replaceChildren(...notes);
}

/** Shows the usage of each customer, summed over the hosts that responded. */
function showCustomers(statuses) {
  const sums = new Map();
  for (const status of statuses) {
    for (const use of status.customers) {
      const sum = sums.get(use.customer) ?? { demand: 0, inFlight: 0 };
      sum.demand += use.demand;
      sum.inFlight += use.in_flight;
      sums.set(use.customer, sum);
    }
  }
  const rows = [row("th", ["customer", "demand, tokens a second", "requests in flight"])];
  for (const [customer, sum] of [...sums].sort()) {
    rows.push(row("td", [customer, tokens(sum.demand), sum.inFlight]));
  }
  document.getElementById("customers").replaceChildren(...rows);
}

function row(tag, cells) {
  const made = element("tr");
  made.append(...cells.map((cell) => element(tag, "", `${cell}`)));
  return made;
}
