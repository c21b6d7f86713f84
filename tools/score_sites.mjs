// Plays a named set of sites with the users' bench and prints a table beside the figures of the last commit.
//
//     node tools/score_sites.mjs SET [--runs N] [--why TEXT]
//
// The bench and its site files are looked for below the folder that LABURNUMSLIP_SITES names.
import { execFileSync, spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import sade from "sade";

const SITES = process.env["LABURNUMSLIP_SITES"] ?? "../given/kit/more/system";
const BENCH = join(SITES, "more/bench-d17393/bin/fleetbench");
const JOBS = "3";
/** Fall of a day's worth that counts if each run shows it. */
const NOTABLE_FALL = 0.03;
const further = "further/esiliina-yhteis.toml";
const furtherGrown = "further-grown/esiliina-yhteis-grown.toml";
const large = "large/liepkalns-slip-large.toml";
const small = ["--small", "--quick"];
/** Plays of each set: a site file and the options of its score. */
const SETS = {
    further: [[further]],
    sites: [["sites/liepkalns-slip.toml"], ["sites/bluemahoe-cb.toml"]],
    twins: [
        [furtherGrown, ...small],
        [large, ...small],
        ["grown/liepkalns-slip-grown.toml", ...small],
        ["grown/bluemahoe-cb-grown.toml", ...small],
    ],
};

/** Key under which plays of one kind are compared. */
function keyOf(entry) {
    const options = entry.argv.filter(option => small.includes(option)).sort();
    return [entry.site, ...options].join(" ");
}

/** Newest committed score of each kind; entries that are not committed are left out. */
function readCommitted() {
    const names = execFileSync("git", ["ls-tree", "--name-only", "HEAD", "journal/"], { encoding: "utf8" });
    const committed = new Map();
    for (const name of names.split("\n").filter(line => line.endsWith(".json")).sort()) {
        const entry = JSON.parse(readFileSync(name, "utf8"));
        if (entry.cmd === "score" && entry.ok) {
            committed.set(keyOf(entry), entry);
        }
    }
    return committed;
}

/** Plays a site and returns the journal entry that the bench has added. */
function play([site, ...options], why) {
    const before = new Set(readdirSync("journal"));
    const why_ = why === undefined ? [] : ["--why", why];
    spawnSync(BENCH, ["score", join(SITES, site), "--jobs", JOBS, ...options, ...why_], { stdio: ["ignore", 2, 2] });
    const added = readdirSync("journal").filter(name => name.endsWith(".json") && !before.has(name)).sort();
    if (added.length === 0) {
        throw new Error(`The bench left no journal entry for ${site}`);
    }
    return JSON.parse(readFileSync(join("journal", added.at(-1)), "utf8"));
}

function weakestPart({ parts }) {
    const [name, , value] = [...parts].sort((left, right) => left[2] - right[2])[0] ?? ["", 0, 0];
    return `${name} ${value.toFixed(2)}`;
}

function printRun(entry, former) {
    console.log(`${keyOf(entry)}: score ${entry.score} (before ${former?.score ?? "none"}), journal ${entry.id}`);
    for (const day of entry.days) {
        const before = former?.days.find(({ name }) => name === day.name);
        const rules = Object.keys(day.rules).join(" ");
        console.log([
            day.name.padEnd(12),
            `score ${day.score}`,
            `worth ${day.G} (before ${before?.G ?? "none"})`,
            `served ${day.served}`,
            `refused ${day.refused}`,
            `failed ${day.failed}`,
            `weakest: ${weakestPart(day)}`,
            ...rules === "" ? [] : [`broken: ${rules}`],
            ...day.fault === null ? [] : [`fault: ${day.fault}`],
        ].join("  "));
    }
}

/** Lists the days that fell in every run. */
function findFalls(runs, former) {
    return (former?.days ?? []).filter(before => {
        const worths = runs.flatMap(({ days }) => days.find(({ name }) => name === before.name)?.G ?? []);
        return worths.length === runs.length && worths.every(worth => worth < before.G - NOTABLE_FALL);
    });
}

sade("score_sites <set>", true)
    .describe(`Plays a set of sites: ${Object.keys(SETS).join(", ")}`)
    .option("--runs", "How often each site is played", 1)
    .option("--why", "A line for the journal")
    .action((set, { runs, why }) => {
        const plays = SETS[set];
        if (!plays) {
            console.error(`There is no set ${set}; the sets are ${Object.keys(SETS).join(", ")}.`);
            process.exit(2);
        }
        if (!existsSync(BENCH)) {
            console.error(`The bench is not there: ${BENCH}. LABURNUMSLIP_SITES names the folder of the sites.`);
            process.exit(2);
        }
        const committed = readCommitted();
        for (const site of plays) {
            const entries = Array.from({ length: Number(runs) }, () => play(site, why));
            const former = committed.get(keyOf(entries[0]));
            entries.forEach(entry => printRun(entry, former));
            for (const { name } of findFalls(entries, former)) {
                console.log(`${name} fell by more than ${NOTABLE_FALL} in each of ${entries.length} runs.`);
            }
        }
    })
    .parse(process.argv);
