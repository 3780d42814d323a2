#include "baobabward/path.h"

#include <glib.h>

#include "baobabward/clock.h"

/* Requests without an answer, none in between, after which it is avoided. */
#define SILENT_REQUESTS 2
/* First and longest time for which a path is avoided. */
#define AVOID_MIN_US (1 * BB_US_PER_S)
#define AVOID_MAX_US (60 * BB_US_PER_S)
/* HELLOs to a silent host are this far apart. */
#define HELLO_US (1 * BB_US_PER_S)
/* Results after which the avoided time starts anew. */
#define FORGET_ANSWERS 3

struct path {
	int64_t answered_us;
	int64_t silent_since_us;
	int64_t avoid_until_us;
	int64_t avoid_us;
	int64_t hello_us;
	uint8_t silent;
	uint8_t answers;
	bool hello_wanted;
	/* A WELCOME ended the time for which it was avoided. */
	bool hello_ended;
	/* It went silent again after that; only results are believed. */
	bool hello_misleads;
};

struct bb_paths {
	size_t nr;
	size_t next;
	/* No path is avoided from then on. */
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

		a->answered_us = a->avoid_until_us = INT64_MIN / 2;
		a->hello_us = INT64_MIN / 2;
		a->avoid_us = AVOID_MIN_US;
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
	 * Small messages may pass where large ones do not, so that WELCOME
	 * says nothing of requests that are still without an answer.
	 */
	a->hello_wanted = false;
	if (hello) {
		if (a->hello_misleads || now_us >= a->avoid_until_us)
			return;
		a->hello_ended = true;
		a->silent = 0;
		a->avoid_until_us = INT64_MIN / 2;
		return;
	}
	a->answered_us = now_us;
	a->silent = 0;
	a->avoid_until_us = INT64_MIN / 2;
	if (a->answers < FORGET_ANSWERS && ++a->answers == FORGET_ANSWERS) {
		a->avoid_us = AVOID_MIN_US;
		a->hello_ended = a->hello_misleads = false;
	}
}

void bb_paths_record_timeout(struct bb_paths *p, uint32_t host, int64_t sent_us,
			     int64_t now_us)
{
	struct path *a = host < p->nr ? &p->paths[host] : NULL;

	if (!a || a->answered_us >= sent_us)
		return;
	if (!a->silent)
		a->silent_since_us = now_us;
	a->answers = 0;
	a->hello_wanted = true;
	if (a->silent < SILENT_REQUESTS)
		a->silent++;
	/* Requests sent before it was avoided do not lengthen the time. */
	if (a->silent < SILENT_REQUESTS || now_us < a->avoid_until_us)
		return;
	a->hello_misleads |= a->hello_ended;
	a->avoid_until_us = now_us + a->avoid_us;
	p->avoid_until_us = MAX(p->avoid_until_us, a->avoid_until_us);
	a->avoid_us = MIN(2 * a->avoid_us, AVOID_MAX_US);
}

uint32_t bb_paths_hello_due(struct bb_paths *p, int64_t now_us)
{
	for (size_t i = 0; i < p->nr; i++) {
		size_t host = (p->next + i) % p->nr;
		struct path *a = &p->paths[host];

		if (!a->hello_wanted || now_us - a->hello_us < HELLO_US)
			continue;
		a->hello_us = now_us;
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

/* The avoided member not yet chosen whose host is silent for longest. */
static size_t longest_silent(const struct bb_paths *p,
			     const struct bb_path_candidate *c, size_t nr,
			     const bool *done, int64_t now_us)
{
	size_t found = nr;

	for (size_t i = 0; i < nr; i++) {
		if (done[i] || !bb_paths_avoided(p, c[i].host, now_us))
			continue;
		if (found == nr ||
		    p->paths[c[i].host].silent_since_us <
			    p->paths[c[found].host].silent_since_us)
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
	while ((i = longest_silent(p, c, nr, done, now_us)) < nr) {
		done[i] = true;
		/* The last path stays in use even without a floor. */
		if (left - c[i].weight < floor || left - c[i].weight <= 0)
			continue;
		avoid[i] = true;
		left -= c[i].weight;
	}
	g_free(done);
	return left;
}
