
/** The maximum number of request rows for one host, and the dimensions of the picture in pixels. */
const ROWS = 14;
const ROW = 9;
const LANE_HEAD = 30;
const LEFT = 96;
const WIDTH = 1200;
/** Prompts above this many tokens count as long. */
const LONG_PROMPT = 16384;
/** The maximum number of events that are kept for each host. */
const KEPT_EVENTS = 20000;

/** Returns the request that an event belongs to, or undefined. */
function requestOf(event) {
  return event.request ?? event.attempt?.replace(/\.\d+$/, "");
}

/** Returns a short text for an event: its time, host and kind, and its other fields. */
function eventText(event) {
  const hidden = new Set(["kind", "at_us", "host", "considered"]);
  const fields = Object.entries(event).filter(([name, value]) => !hidden.has(name) && value !== null);
  const listed = fields.map(([name, value]) => `${name} ${Array.isArray(value) ? value.length : value}`);
  const at = new Date(event.at_us / 1000).toISOString().slice(11, 23);
  return `${at} ${event.host}: ${event.kind.replaceAll("_", " ")}\n${listed.join(", ")}`;
}

/** Groups the events of one host by request; other events become marks. */
function gather(events) {
  const requests = new Map();
  const marks = [];
  for (const event of events) {
    const id = requestOf(event);
    if (!id || event.kind === "orphan_cancelled") {
      marks.push(event);
      continue;
    }
    const request = requests.get(id) ?? { id, start: event.at_us, events: [], prompt: 0 };
    requests.set(id, request);
    request.events.push(event);
    request.last = event.at_us;
    if (event.kind === "admitted") request.prompt = event.prompt_tokens;
    if (event.kind === "granted") request.granted ??= event.at_us;
    if (event.kind === "completed") request.end = event.at_us;
    if (event.kind === "refused") {
      request.end = event.at_us;
      request.refused = true;
    }
  }
  return { requests: [...requests.values()], marks };
}

/** Assigns to each request the first row that is free at its start; returns how many got none. */
function assignRows(requests, now) {
  const busy = [];
  let hidden = 0;
  for (const request of requests.sort((a, b) => a.start - b.start)) {
    let index = busy.findIndex((until) => until < request.start);
    if (index < 0) index = busy.length;
    if (index >= ROWS) {
      hidden += 1;
      request.row = undefined;
      continue;
    }
    request.row = index;
    busy[index] = (request.end ?? now) + 50000;
  }
  return hidden;
}

function shape(tag, attributes, title) {
  const made = document.createElementNS("http://www.w3.org/2000/svg", tag);
  for (const [name, value] of Object.entries(attributes)) made.setAttribute(name, value);
  if (title) {
    const tip = document.createElementNS("http://www.w3.org/2000/svg", "title");
    tip.textContent = title;
    made.append(tip);
  }
  return made;
}

function label(x, y, text, anchor) {
  const made = shape("text", { x, y, "text-anchor": anchor ?? "start" });
  made.textContent = text;
  return made;
}

/** Draws the events of all hosts in the window that ends at `now`, in microseconds. */
function drawTimeLine(lines, now, seconds, onRequest) {
  const picture = document.getElementById("picture");
  const from = now - seconds * 1e6;
  const x = (at) => LEFT + ((Math.max(at, from) - from) / (now - from)) * (WIDTH - LEFT - 10);
  const drawn = [];
  let top = 22;
  drawn.push(...axis(from, now, x));
  for (const [host, line] of [...lines].sort()) {
    const { requests, marks } = gather(line.events);
    const visible = requests.filter((request) => (request.end ?? now) >= from);
    const hidden = assignRows(visible, now);
    const rows = Math.max(1, ...visible.map((request) => (request.row ?? -1) + 1));
    drawn.push(shape("line", { x1: 0, x2: WIDTH, y1: top, y2: top, class: "lane" }));
    drawn.push(label(6, top + 18, host));
    if (hidden) drawn.push(label(6, top + 34, `${hidden} more`));
    for (const request of visible) {
      if (request.row !== undefined) {
        drawn.push(requestShape(request, top + LANE_HEAD + request.row * ROW, x, now, onRequest));
      }
    }
    for (const mark of marks) {
      if (mark.at_us >= from) drawn.push(markShape(mark, x(mark.at_us), top + 15));
    }
    top += Math.max(LANE_HEAD + rows * ROW + 8, 44);
  }
  picture.setAttribute("viewBox", `0 0 ${WIDTH} ${top + 4}`);
  picture.replaceChildren(...drawn);
}

function axis(from, now, x) {
  const drawn = [];
  for (let step = 0; step <= 5; step += 1) {
    const at = from + ((now - from) * step) / 5;
    const anchor = step === 5 ? "end" : step === 0 ? "start" : "middle";
    drawn.push(label(x(at), 14, new Date(at / 1000).toISOString().slice(11, 19), anchor));
  }
  return drawn;
}

function requestShape(request, y, x, now, onRequest) {
  const end = request.end ?? now;
  const granted = Math.min(request.granted ?? end, end);
  const kind = request.refused ? "refused" : request.prompt > LONG_PROMPT ? "run long" : "run";
  const text = [`request ${request.id}`, ...request.events.map(eventText)].join("\n");
  const group = shape("g", { class: request.end ? "request" : "request open" }, text);
  const bar = (a, b, className) =>
    shape("rect", { x: x(a), y, width: Math.max(2, x(b) - x(a)), height: ROW - 2, rx: 1.5, class: className });
  if (request.refused) {
    group.append(bar(request.start, end, kind));
  } else {
    group.append(bar(request.start, granted, "wait"));
    if (request.granted) group.append(bar(granted, end, kind));
  }
  group.addEventListener("click", () => onRequest(request.id));
  return group;
}

function markShape(event, x, y) {
  const bad = ["peer_suspected", "lease_lost", "config_refused", "orphan_cancelled"];
  const good = ["peer_alive", "config_accepted", "lease_gained"];
  const colour = bad.includes(event.kind) ? " bad" : good.includes(event.kind) ? " good" : "";
  const points = `${x},${y - 6} ${x + 5},${y} ${x},${y + 6} ${x - 5},${y}`;
  return shape("polygon", { points, class: `mark${colour}` }, eventText(event));
}
