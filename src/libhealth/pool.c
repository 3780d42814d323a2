#include "pool.h"

#include <string.h>

#include "baobabward/clock.h"

/* Others that must have answered before a backend server is ejected. */
#define CONSULT_MEMBERS 3
/* Outcomes behind a median that counts. */
#define MEDIAN_SAMPLES 3
/* Others whose medians are enough to judge a latency. */
#define LATENCY_MEMBERS 2
#define ASK_IDLE_US (10 * BB_US_PER_S)
/* Members asked in that time while one is suspected. */
#define ASK_SUSPECT 8
#define SUSPECT_LONG_US (30 * BB_US_PER_S)
#define ASK_SUSPECT_LONG_US (1 * BB_US_PER_S)
/* A member is not asked again before this time. */
#define ASK_AGAIN_US (1 * BB_US_PER_S)
#define ASK_AGAIN_OFTEN_US (150 * BB_US_PER_MS)
#define ASK_OFTEN_US (3 * BB_US_PER_S)

static const struct bb_pool_member *find(const struct bb_pool *p,
					 const char *name)
{
	for (size_t i = 0; p && i < p->members_nr; i++)
		if (!strcmp(p->members[i].name, name))
			return &p->members[i];
	return NULL;
}

struct bb_pool *bb_pool_new(const struct bb_config *c, uint32_t service,
			    uint32_t host, const struct bb_pool *old)
{
	const struct bb_service *s = &c->services[service];
	struct bb_pool *p = g_new0(struct bb_pool, 1);

	p->name = g_strdup(s->name);
	p->service = service;
	p->members_nr = s->backends_nr;
	p->members = g_new0(struct bb_pool_member, s->backends_nr);
	p->asked_us = old ? old->asked_us : INT64_MIN / 2;
	p->suspect_us = old ? old->suspect_us : INT64_MIN / 2;
	for (size_t i = 0; i < s->backends_nr; i++) {
		const struct bb_backend *b = &c->backends[s->backends[i]];
		const struct bb_pool_member *known = find(old, b->name);
		struct bb_pool_member *m = &p->members[i];

		if (known)
			*m = *known;
		else
			m->answered_us = m->asked_us = INT64_MIN / 2;
		m->name = g_strdup(b->name);
		m->backend = s->backends[i];
		m->zone = c->hosts[b->host].zone_id;
		m->local = b->host == host;
		m->in = b->state == BB_BACKEND_IN;
	}
	return p;
}

void bb_pool_delete(struct bb_pool *p)
{
	if (!p)
		return;
	for (size_t i = 0; i < p->members_nr; i++)
		g_free(p->members[i].name);
	g_free(p->members);
	g_free(p->name);
	g_free(p);
}

void bb_pool_set(struct bb_pool *p, const struct bb_pool_summary *s,
		 int64_t now_us)
{
	if (s->class_id >= BB_HEALTH_CLASSES)
		return;
	for (size_t i = 0; i < p->members_nr; i++) {
		struct bb_pool_member *m = &p->members[i];

		if (m->backend != s->backend)
			continue;
		m->summaries[s->class_id] = *s;
		m->received_us[s->class_id] = now_us;
		m->answered_us = now_us;
	}
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Up to this number of members is looked at. */
#define MEMBERS_MAX 64

struct values {
	double v[MEMBERS_MAX];
	unsigned int nr;
};

static void add(struct values *a, double v)
{
	if (a->nr < MEMBERS_MAX)
		a->v[a->nr++] = v;
}

/* The upper median, but of two the lower: one bad member hides no other. */
static double median_of(struct values *a)
{
	if (!a->nr)
		return 0;
	qsort(a->v, a->nr, sizeof(*a->v), compare);
	return a->nr == 2 ? a->v[0] : a->v[a->nr / 2];
}

static const struct bb_pool_member *by_backend(const struct bb_pool *p,
					       uint32_t backend)
{
	for (size_t i = 0; i < p->members_nr; i++)
		if (p->members[i].backend == backend)
			return &p->members[i];
	return NULL;
}

/* Time of the oldest of the latest three outcomes. */
static int64_t run_start_us(const struct bb_pool_member *m, uint32_t class_id)
{
	return m->received_us[class_id] -
	       m->summaries[class_id].recent_age_ms * BB_US_PER_MS;
}

void bb_pool_reference(const struct bb_pool *p, uint32_t backend,
		       uint32_t class_id, int64_t since_us,
		       int64_t run_since_us, struct bb_evidence_reference *out)
{
	const struct bb_pool_member *self = by_backend(p, backend);
	struct values median = { .nr = 0 }, spread = { .nr = 0 };
	struct values errors = { .nr = 0 }, zone_median = { .nr = 0 };
	struct values zone_errors = { .nr = 0 }, zone_spread = { .nr = 0 };

	*out = (struct bb_evidence_reference){ .members = 0 };
	for (size_t i = 0; self && i < p->members_nr; i++) {
		const struct bb_pool_member *m = &p->members[i];
		const struct bb_pool_summary *s = &m->summaries[class_id];
		double share = s->error_permille / 1000.0;

		if (m == self || !m->in ||
		    m->received_us[class_id] < since_us ||
		    s->samples < MEDIAN_SAMPLES ||
		    run_start_us(m, class_id) < run_since_us)
			continue;
		add(&errors, share);
		if (m->zone == self->zone)
			add(&zone_errors, share);
		if (!s->median_us)
			continue;
		add(&median, s->median_us);
		add(&spread, s->spread_us);
		if (m->zone != self->zone)
			continue;
		add(&zone_median, s->median_us);
		add(&zone_spread, s->spread_us);
	}
	out->members = errors.nr;
	out->latency_known = median.nr >= LATENCY_MEMBERS;
	out->spread_us = MAX(median_of(&spread), median_of(&zone_spread));
	/*
	 * A zone that is slow or failing as a whole is not the fault of one
	 * backend server. For errors one neighbour is not enough, or two
	 * failing ones would excuse each other.
	 */
	out->median_us = MAX(median_of(&median), median_of(&zone_median));
	out->error_share = median_of(&errors);
	if (zone_errors.nr >= 2)
		out->error_share =
			MAX(out->error_share, median_of(&zone_errors));
}

bool bb_pool_consulted(const struct bb_pool *p, uint32_t backend,
		       int64_t since_us)
{
	unsigned int others = 0, answered = 0;

	for (size_t i = 0; i < p->members_nr; i++) {
		const struct bb_pool_member *m = &p->members[i];

		if (!m->in || m->backend == backend)
			continue;
		others++;
		answered += m->answered_us >= since_us;
	}
	return answered >= MIN(others, CONSULT_MEMBERS);
}

bool bb_pool_zone_informed(const struct bb_pool *p, uint32_t backend,
			   uint32_t class_id, int64_t since_us)
{
	const struct bb_pool_member *self = by_backend(p, backend);
	unsigned int others = 0, informed = 0;

	for (size_t i = 0; self && i < p->members_nr; i++) {
		const struct bb_pool_member *m = &p->members[i];

		if (m == self || !m->in || m->zone != self->zone ||
		    m->summaries[class_id].samples < MEDIAN_SAMPLES)
			continue;
		others++;
		informed += run_start_us(m, class_id) >= since_us;
	}
	return informed >= MIN(others, 1);
}

/* Right after a suspicion the pool is asked often, to confirm it quickly. */
static int64_t again_us(const struct bb_pool *p, int64_t now_us)
{
	return p->suspects && now_us - p->suspect_us < ASK_OFTEN_US ?
		       ASK_AGAIN_OFTEN_US :
		       ASK_AGAIN_US;
}

static bool may_ask(const struct bb_pool *p, int64_t now_us)
{
	unsigned int asked = 0;

	if (!p->suspects)
		return now_us - p->asked_us >= ASK_IDLE_US;
	if (now_us - p->suspect_us >= SUSPECT_LONG_US)
		return now_us - p->asked_us >= ASK_SUSPECT_LONG_US;
	for (size_t i = 0; i < p->members_nr; i++)
		asked += now_us - p->members[i].asked_us < again_us(p, now_us);
	return asked < ASK_SUSPECT;
}

uint32_t bb_pool_ask(struct bb_pool *p, int64_t now_us)
{
	if (!may_ask(p, now_us))
		return BB_NO_ROW;
	for (size_t i = 0; i < p->members_nr; i++) {
		struct bb_pool_member *m =
			&p->members[(p->next + i) % p->members_nr];

		if (m->local || !m->in ||
		    now_us - m->asked_us < again_us(p, now_us))
			continue;
		p->next = (p->next + i + 1) % p->members_nr;
		m->asked_us = p->asked_us = now_us;
		return m->backend;
	}
	return BB_NO_ROW;
}
