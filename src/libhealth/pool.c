#include "pool.h"

#include <string.h>

#include "baobabward/clock.h"

/* Other members that must have answered before a backend server is ejected. */
#define CONSULTED_MEMBERS_MIN 3
/* Least number of outcomes in a summary that is used. */
#define REFERENCE_SAMPLES_MIN 3
/* Other members with a median latency that are needed to judge a latency. */
#define LATENCY_MEMBERS_MIN 2
/* Time between two requests for summaries while no member is suspect. */
#define ASK_IDLE_INTERVAL_US (10 * BB_US_PER_S)
/* Members asked within ask_interval_us() while one is suspect. */
#define ASK_SUSPECT_MEMBERS 8
/* After this time of suspicion one member at a time is asked. */
#define LONG_SUSPECT_US (30 * BB_US_PER_S)
#define ASK_LONG_SUSPECT_INTERVAL_US (1 * BB_US_PER_S)
/* Time before the same member is asked again; shorter after a new suspicion. */
#define ASK_AGAIN_INTERVAL_US (1 * BB_US_PER_S)
#define ASK_OFTEN_INTERVAL_US (150 * BB_US_PER_MS)
#define ASK_OFTEN_PERIOD_US (3 * BB_US_PER_S)

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
	p->last_asked_us = old ? old->last_asked_us : INT64_MIN / 2;
	p->suspect_since_us = old ? old->suspect_since_us : INT64_MIN / 2;
	for (size_t i = 0; i < s->backends_nr; i++) {
		const struct bb_backend *b = &c->backends[s->backends[i]];
		const struct bb_pool_member *known = find(old, b->name);
		struct bb_pool_member *m = &p->members[i];

		if (known)
			*m = *known;
		else
			m->last_answer_us = m->last_asked_us = INT64_MIN / 2;
		m->name = g_strdup(b->name);
		m->backend = s->backends[i];
		m->zone = c->hosts[b->host].zone_id;
		m->local = b->host == host;
		m->in_service = b->state == BB_BACKEND_IN &&
				!c->hosts[b->host].evacuated;
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
		m->last_answer_us = now_us;
	}
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Largest number of members that a reference is computed from. */
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

/*
 * The upper median; of two values the lower, so that one bad member does not
 * hide another.
 */
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
static int64_t recent_start_us(const struct bb_pool_member *m,
			       uint32_t class_id)
{
	return m->received_us[class_id] -
	       m->summaries[class_id].recent_age_ms * BB_US_PER_MS;
}

void bb_pool_reference(const struct bb_pool *p, uint32_t backend,
		       uint32_t class_id, int64_t since_us,
		       int64_t recent_since_us,
		       struct bb_evidence_reference *out)
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

		if (m == self || !m->in_service ||
		    m->received_us[class_id] < since_us ||
		    s->samples < REFERENCE_SAMPLES_MIN ||
		    recent_start_us(m, class_id) < recent_since_us)
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
	out->latency_known = median.nr >= LATENCY_MEMBERS_MIN;
	out->spread_us = MAX(median_of(&spread), median_of(&zone_spread));
	/*
	 * If a whole zone is slow or failing, no single backend server is at
	 * fault, so that the zone's figures are used if they are worse. For
	 * errors one other member in the zone is not enough: two failing ones
	 * would each be the reference that hides the other.
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

		if (!m->in_service || m->backend == backend)
			continue;
		others++;
		answered += m->last_answer_us >= since_us;
	}
	return answered >= MIN(others, CONSULTED_MEMBERS_MIN);
}

bool bb_pool_zone_has_recent(const struct bb_pool *p, uint32_t backend,
			     uint32_t class_id, int64_t since_us)
{
	const struct bb_pool_member *self = by_backend(p, backend);
	unsigned int others = 0, with_recent = 0;

	for (size_t i = 0; self && i < p->members_nr; i++) {
		const struct bb_pool_member *m = &p->members[i];

		if (m == self || !m->in_service || m->zone != self->zone ||
		    m->summaries[class_id].samples < REFERENCE_SAMPLES_MIN)
			continue;
		others++;
		with_recent += recent_start_us(m, class_id) >= since_us;
	}
	return with_recent >= MIN(others, 1);
}

/* Right after a suspicion, members are asked often to confirm it quickly. */
static int64_t ask_interval_us(const struct bb_pool *p, int64_t now_us)
{
	return p->suspects && now_us - p->suspect_since_us <
				       ASK_OFTEN_PERIOD_US ?
		       ASK_OFTEN_INTERVAL_US :
		       ASK_AGAIN_INTERVAL_US;
}

static bool may_ask(const struct bb_pool *p, int64_t now_us)
{
	unsigned int asked = 0;

	if (!p->suspects)
		return now_us - p->last_asked_us >= ASK_IDLE_INTERVAL_US;
	if (now_us - p->suspect_since_us >= LONG_SUSPECT_US)
		return now_us - p->last_asked_us >=
		       ASK_LONG_SUSPECT_INTERVAL_US;
	for (size_t i = 0; i < p->members_nr; i++)
		asked += now_us - p->members[i].last_asked_us <
			 ask_interval_us(p, now_us);
	return asked < ASK_SUSPECT_MEMBERS;
}

uint32_t bb_pool_next_to_ask(struct bb_pool *p, int64_t now_us)
{
	if (!may_ask(p, now_us))
		return BB_NO_ROW;
	for (size_t i = 0; i < p->members_nr; i++) {
		struct bb_pool_member *m =
			&p->members[(p->next_member + i) % p->members_nr];

		if (m->local || !m->in_service ||
		    now_us - m->last_asked_us < ask_interval_us(p, now_us))
			continue;
		p->next_member = (p->next_member + i + 1) % p->members_nr;
		m->last_asked_us = p->last_asked_us = now_us;
		return m->backend;
	}
	return BB_NO_ROW;
}
