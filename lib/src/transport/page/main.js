
/** The interval between polls of the hosts, in milliseconds. */
const REFRESH = 1000;

/** The operators' addresses to poll: this host, and those in the `hosts` parameter of the page's URL. */
const asked = new URLSearchParams(location.search).get("hosts")?.split(",").filter(Boolean) ?? [];
const bases = ["", ...asked.filter((addr) => addr !== location.host).map((addr) => `http://${addr}`)];

/** The events of each host by its name: `{ events, after, lost }`. */
const lines = new Map();
const afters = new Map();

async function fetchJson(base, path) {
  const response = await fetch(base + path, { signal: AbortSignal.timeout(4000) });
  if (!response.ok) throw new Error(`${response.status} ${await response.text()}`);
  return response.json();
}

async function fetchEvents(base) {
  const page = await fetchJson(base, `/timeline?after=${afters.get(base) ?? 0}&limit=5000`);
  const line = lines.get(page.host) ?? { events: [] };
  line.events = [...line.events, ...page.events].slice(-KEPT_EVENTS);
  line.lost = page.lost;
  lines.set(page.host, line);
  if (page.events.length) afters.set(base, page.events.at(-1).at_us);
}

async function refresh() {
  const silent = [];
  const statuses = [];
  await Promise.all(bases.map(async (base) => {
    try {
      const [status] = await Promise.all([fetchJson(base, "/status"), fetchEvents(base)]);
      statuses.push(status);
    } catch (error) {
      silent.push(`${base || location.host} does not answer (${error.message})`);
    }
  }));
  statuses.sort((a, b) => a.host.localeCompare(b.host));
  document.getElementById("trouble").textContent = silent.join("; ");
  if (statuses.length) show(statuses);
}

function show(statuses) {
  const hosts = statuses.map((status) => status.host).join(", ");
  document.getElementById("self").textContent = `as seen by ${hosts}`;
  showHosts(statuses);
  showTargets(statuses);
  showNotes(statuses);
  showCustomers(statuses);
  if (document.getElementById("paused").checked) return;
  const seconds = Number(document.getElementById("window").value);
  const newest = Math.max(0, ...[...lines.values()].map((line) => line.events.at(-1)?.at_us ?? 0));
  drawTimeLine(lines, Math.max(Date.now() * 1000, newest), seconds, showWhy);
  const lost = [...lines].filter(([, line]) => line.lost > 0);
  const texts = lost.map(([host, line]) => `${host} has lost ${line.lost} older events.`);
  document.getElementById("lost").textContent = texts.join(" ");
}

/** Explains a request from the events of each polled host. */
async function showWhy(request) {
  const told = [];
  for (const base of bases) {
    try {
      const why = await fetchJson(base, `/why?request=${encodeURIComponent(request)}`);
      if (why.found) told.push([why.verdict, ...why.steps, ...why.gaps].join("\n  "));
    } catch (error) {
      told.push(`${base || location.host} does not answer (${error.message})`);
    }
  }
  const box = document.getElementById("why");
  box.hidden = false;
  box.textContent = told.join("\n\n") || `Nothing is known of request ${request} any more.`;
}

async function loop() {
  await refresh();
  setTimeout(loop, REFRESH);
}

loop();
