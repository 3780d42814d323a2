#include "baobabward/path.h"

#include <glib.h>

#include "baobabward/clock.h"

/* Consecutive requests without an answer after which a path is avoided. */
#define TIMEOUTS_TO_AVOID 2
/* First and longest time for which a path is avoided. */
#define AVOID_MIN_US (1 * BB_US_PER_S)
#define AVOID_MAX_US (60 * BB_US_PER_S)
/* Time between two HELLOs to a host that does not answer. */
#define HELLO_INTERVAL_US (1 * BB_US_PER_S)
/* Results without a timeout that reset the avoided time to AVOID_MIN_US. */
#define RESULTS_TO_RESET 3

/* State of the path to one host. */
struct path {
	int64_t last_result_us;
	int64_t timeouts_since_us; /* first of @timeouts */
	int64_t avoid_until_us;
	int64_t avoid_time_us; /* length of the next avoided time */
	int64_t hello_sent_us;
	uint8_t timeouts; /* consecutive, up to TIMEOUTS_TO_AVOID */
	uint8_t results; /* since the last timeout, up to RESULTS_TO_RESET */
	bool hello_wanted;
	/* A WELCOME ended the avoided time early. */
	bool welcome_ended_avoidance;
	/* Timeouts followed such a WELCOME, so that only results count. */
	bool welcome_unreliable;
};

struct bb_paths {
	size_t nr; /* number of @paths */
	size_t next; /* host with which the next search for a HELLO begins */
	/* Latest end of the avoided times of all paths. */
	int64_t avoid_until_us;
	struct path *paths;
};

struct bb_paths *bb_paths_new(size_t hosts_nr)
{
	struct bb_paths *p = g_new0(struct bb_paths, 1);

	p->nr = hosts_nr;
	p->avoid_until_us = INT64_MIN / 2;
	p->paths = g_new0(struct path, hosts_nr);
	for (size_t i = 0; i < hosts_nr; i++) {
		struct path *a = &p->paths[i];

		a->last_result_us = a->avoid_until_us = INT64_MIN / 2;
		a->hello_sent_us = INT64_MIN / 2;
		a->avoid_time_us = AVOID_MIN_US;
	}
	return p;
}

struct bb_paths *bb_paths_carry_over(struct bb_paths *old, const uint32_t *from,
				     size_t hosts_nr)
{
	struct bb_paths *p = bb_paths_new(hosts_nr);

	for (size_t i = 0; old && i < hosts_nr; i++)
		if (from[i] < old->nr)
			p->paths[i] = old->paths[from[i]];
	if (old)
		p->avoid_until_us = old->avoid_until_us;
	bb_paths_delete(old);
	return p;
}

void bb_paths_delete(struct bb_paths *p)
{
	if (!p)
		return;
	g_free(p->paths);
	g_free(p);
}

void bb_paths_record_answer(struct bb_paths *p, uint32_t host, bool hello,
			    int64_t now_us)
{
	struct path *a = host < p->nr ? &p->paths[host] : NULL;

	if (!a)
		return;
	/*
	 * Small messages may pass where large ones do not, so that a WELCOME
	 * does not answer for requests that still have no result.
	 */
	a->hello_wanted = false;
	if (hello) {
		if (a->welcome_unreliable || now_us >= a->avoid_until_us)
			return;
		a->welcome_ended_avoidance = true;
		a->timeouts = 0;
		a->avoid_until_us = INT64_MIN / 2;
		return;
	}
	a->last_result_us = now_us;
	a->timeouts = 0;
	a->avoid_until_us = INT64_MIN / 2;
	if (a->results < RESULTS_TO_RESET && ++a->results == RESULTS_TO_RESET) {
		a->avoid_time_us = AVOID_MIN_US;
		a->welcome_ended_avoidance = a->welcome_unreliable = false;
	}
}

void bb_paths_record_timeout(struct bb_paths *p, uint32_t host, int64_t sent_us,
			     int64_t now_us)
{
	struct path *a = host < p->nr ? &p->paths[host] : NULL;

	if (!a || a->last_result_us >= sent_us)
		return;
	if (!a->timeouts)
		a->timeouts_since_us = now_us;
	a->results = 0;
	a->hello_wanted = true;
	if (a->timeouts < TIMEOUTS_TO_AVOID)
		a->timeouts++;
	/* Requests sent before the path was avoided do not extend the time. */
	if (a->timeouts < TIMEOUTS_TO_AVOID || now_us < a->avoid_until_us)
		return;
	a->welcome_unreliable |= a->welcome_ended_avoidance;
	a->avoid_until_us = now_us + a->avoid_time_us;
	p->avoid_until_us = MAX(p->avoid_until_us, a->avoid_until_us);
	a->avoid_time_us = MIN(2 * a->avoid_time_us, AVOID_MAX_US);
}

uint32_t bb_paths_hello_due(struct bb_paths *p, int64_t now_us)
{
	for (size_t i = 0; i < p->nr; i++) {
		size_t host = (p->next + i) % p->nr;
		struct path *a = &p->paths[host];

		if (!a->hello_wanted ||
		    now_us - a->hello_sent_us < HELLO_INTERVAL_US)
			continue;
		a->hello_sent_us = now_us;
		p->next = host + 1;
		return (uint32_t)host;
	}
	return UINT32_MAX;
}

bool bb_paths_avoided(const struct bb_paths *p, uint32_t host, int64_t now_us)
{
	return host < p->nr && now_us < p->paths[host].avoid_until_us;
}

bool bb_paths_any_avoided(const struct bb_paths *p, int64_t now_us)
{
	return now_us < p->avoid_until_us;
}

/* The avoided member not in @done whose host has not answered for longest. */
static size_t longest_unanswered(const struct bb_paths *p,
				 const struct bb_path_candidate *c, size_t nr,
				 const bool *done, int64_t now_us)
{
	size_t found = nr;

	for (size_t i = 0; i < nr; i++) {
		if (done[i] || !bb_paths_avoided(p, c[i].host, now_us))
			continue;
		if (found == nr ||
		    p->paths[c[i].host].timeouts_since_us <
			    p->paths[c[found].host].timeouts_since_us)
			found = i;
	}
	return found;
}

double bb_paths_filter(const struct bb_paths *p,
		       const struct bb_path_candidate *c, size_t nr,
		       uint32_t floor_percent, bool *avoid, int64_t now_us)
{
	bool *done = g_new0(bool, nr + 1);
	double total = 0, left = 0, floor;
	size_t i;

	for (i = 0; i < nr; i++) {
		avoid[i] = false;
		done[i] = c[i].ineligible;
		total += c[i].weight;
		left += c[i].ineligible ? 0 : c[i].weight;
	}
	floor = total * floor_percent / 100 - total * 1e-9;
	while ((i = longest_unanswered(p, c, nr, done, now_us)) < nr) {
		done[i] = true;
		/* The last path stays in use even with a floor of 0. */
		if (left - c[i].weight < floor || left - c[i].weight <= 0)
			continue;
		avoid[i] = true;
		left -= c[i].weight;
	}
	g_free(done);
	return left;
}
