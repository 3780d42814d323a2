#include "baobabward/permit.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"

/* Bound on the difference in rate between two clocks. */
#define DRIFT_PERCENT 1
/* Time before a request that was refused or not answered is repeated. */
#define RETRY_INTERVAL_US (500 * BB_US_PER_MS)
/* Part of its term after which a permit is renewed. */
#define RENEW_AFTER_US (BB_PERMIT_TERM_US / 3)
/* Spreads the first nonces of incarnations evenly: 2^64 / golden ratio. */
#define NONCE_MULTIPLIER UINT64_C(0x9E3779B97F4A7C15)

/* A permit that this node has granted. */
struct grant {
	int64_t expires_us;
	uint64_t incarnation;
	uint64_t nonce;
	/*
	 * Requested by several incarnations of a node, so that a release
	 * cannot be ordered with the requests and is ignored.
	 */
	bool several_incarnations;
};

/* A service for which this node may grant permits. */
struct service {
	char *name;
	uint32_t allowed; /* E, see bb_permit_max_ejections() */
	uint32_t previous_allowed; /* by the previous configuration */
	uint32_t group; /* lease group */
	uint32_t committee; /* number of its seats, 0 if not configured */
	GHashTable *grants; /* backend name -> struct grant */
};

/* A permit that this node requests or has. */
struct wanted_permit {
	char *service;
	char *backend;
	int64_t valid_until_us;
	int64_t requested_us;
	uint64_t nonce; /* of the unanswered request, 0 if none */
	unsigned int attempt; /* refusals and missing replies since a grant */
	uint32_t granted_by; /* host */
	bool in_force; /* valid at the last tick */
	bool frozen; /* in force although the permit has expired */
	int64_t reacquire_until_us; /* end of frozen ejection without permit */
	/* Fewer ejections are allowed than when it was frozen. */
	bool frozen_void;
};

struct bb_permits {
	struct bb_permits_options options;
	uint64_t nonce; /* of the latest request or release */
	bool automation; /* as configured */
	GHashTable *services; /* name -> struct service */
	GHashTable *wanted; /* backend name -> struct wanted_permit */
};

static int compare_descending(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x < y) - (x > y);
}

static bool takes_requests(const struct bb_config *c,
			   const struct bb_permits_options *o,
			   const struct bb_backend *b)
{
	return b->state == BB_BACKEND_IN && !c->hosts[b->host].evacuated &&
	       !(o && o->leaving && o->leaving(o->data, b->host));
}

static uint32_t allowed_ejections(const struct bb_config *c, uint32_t service,
				  const struct bb_permits_options *o)
{
	const struct bb_service *s = &c->services[service];
	g_autofree double *in = g_new(double, s->backends_nr + 1);
	double total = 0, left = 0, floor;
	size_t nr = 0;
	uint32_t allowed = 0;

	for (size_t i = 0; i < s->backends_nr; i++) {
		const struct bb_backend *b = &c->backends[s->backends[i]];
		double capacity = b->slots * b->weight;

		total += capacity;
		if (!takes_requests(c, o, b))
			continue;
		left += capacity;
		in[nr++] = capacity;
	}
	qsort(in, nr, sizeof(*in), compare_descending);
	/* Sums of weights such as 0.1 are not exact. */
	floor = total * s->floor_percent / 100 - total * 1e-9;
	for (size_t i = 0; i < nr && left - in[i] >= floor; i++) {
		left -= in[i];
		allowed++;
	}
	return allowed;
}

uint32_t bb_permit_max_ejections(const struct bb_config *c, uint32_t service)
{
	return allowed_ejections(c, service, NULL);
}

uint32_t bb_permit_share(uint32_t allowed, uint32_t seats, uint32_t committee)
{
	uint64_t x = ((uint64_t)allowed + 1) * MIN(seats, committee);
	uint64_t up = (x + committee - 1) / committee;

	return up ? (uint32_t)(up - 1) : 0;
}

static void service_delete(void *data)
{
	struct service *s = data;

	g_hash_table_destroy(s->grants);
	g_free(s->name);
	g_free(s);
}

static void wanted_permit_delete(void *data)
{
	struct wanted_permit *w = data;

	g_free(w->service);
	g_free(w->backend);
	g_free(w);
}

struct bb_permits *bb_permits_new(const struct bb_permits_options *options)
{
	struct bb_permits *p = g_new0(struct bb_permits, 1);

	p->options = *options;
	/*
	 * A grant for a request of an earlier incarnation must not match a
	 * request of this one, since its term counts from the earlier request.
	 */
	p->nonce = options->incarnation * NONCE_MULTIPLIER;
	p->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    service_delete);
	p->wanted = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  wanted_permit_delete);
	return p;
}

void bb_permits_delete(struct bb_permits *p)
{
	if (!p)
		return;
	g_hash_table_destroy(p->services);
	g_hash_table_destroy(p->wanted);
	g_free(p);
}

static bool grant_expired(void *key, void *value, void *data)
{
	(void)key;
	return ((struct grant *)value)->expires_us <= *(int64_t *)data;
}

static gboolean remove_expired(void *key, void *value, void *data)
{
	return grant_expired(key, value, data);
}

static struct service *service_get(struct bb_permits *p, const char *name)
{
	struct service *s = g_hash_table_lookup(p->services, name);

	if (s)
		return s;
	s = g_new0(struct service, 1);
	s->name = g_strdup(name);
	s->grants =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(p->services, s->name, s);
	return s;
}

static gboolean remove_unused(void *key, void *value, void *data)
{
	struct service *s = value;

	(void)key;
	g_hash_table_foreach_remove(s->grants, remove_expired, data);
	return !s->committee && !g_hash_table_size(s->grants);
}

static int64_t agreement_unknown_us(const struct bb_permits *p, int64_t now_us)
{
	return p->options.agreement_unknown_us ?
		       p->options.agreement_unknown_us(p->options.data,
						       now_us) :
		       0;
}

/* Keeps an ejection in force for the time in which it can get a permit. */
static void extend_ejection(struct bb_permits *p, struct wanted_permit *w,
			    int64_t now_us)
{
	if (bb_permits_valid_until(p, w->backend, now_us) > now_us)
		w->reacquire_until_us = now_us + BB_PERMIT_REACQUIRE_US -
					agreement_unknown_us(p, now_us);
}

/*
 * No grantor counts a frozen ejection without a permit, so that nobody can tell
 * whether it still fits after the allowed number was lowered. Such an ejection
 * needs a permit again.
 */
static void void_frozen_ejections(struct bb_permits *p, int64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, p->wanted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct wanted_permit *w = value;
		struct service *s =
			g_hash_table_lookup(p->services, w->service);

		if (s && s->allowed >= s->previous_allowed)
			continue;
		extend_ejection(p, w, now_us);
		w->frozen_void = true;
	}
}

void bb_permits_set_self(struct bb_permits *p, uint32_t self)
{
	p->options.self = self;
}

void bb_permits_set_config(struct bb_permits *p, const struct bb_config *c,
			   int64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, p->wanted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct wanted_permit *w = value;

		if (!p->automation && c->automation)
			extend_ejection(p, w, now_us);
	}
	p->automation = c->automation;
	g_hash_table_iter_init(&iter, p->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *s = value;

		s->previous_allowed = s->allowed;
		s->allowed = 0;
		s->committee = 0;
	}
	for (size_t i = 0; i < c->services_nr; i++) {
		struct service *s = service_get(p, c->services[i].name);

		s->allowed = allowed_ejections(c, (uint32_t)i, &p->options);
		s->group = p->options.group(p->options.data, s->name,
					    &s->committee);
	}
	void_frozen_ejections(p, now_us);
	g_hash_table_foreach_remove(p->services, remove_unused, &now_us);
}

/* Return: true if the permit is granted and counted as outstanding. */
static bool grant(struct bb_permits *p, const char *service,
		  const char *backend, uint64_t incarnation, uint64_t nonce,
		  int64_t now_us)
{
	struct service *s = g_hash_table_lookup(p->services, service);
	struct grant *g;
	uint32_t seats, outstanding;

	if (!s || !s->committee)
		return false;
	g_hash_table_foreach_remove(s->grants, remove_expired, &now_us);
	g = g_hash_table_lookup(s->grants, backend);
	outstanding = g_hash_table_size(s->grants) + !g;
	seats = p->options.seats_held(p->options.data, s->group,
				      now_us - BB_PERMIT_SEAT_WAIT_US, now_us);
	if (outstanding > bb_permit_share(s->allowed, seats, s->committee))
		return false;
	if (!g) {
		g = g_new0(struct grant, 1);
		g->incarnation = incarnation;
		g->nonce = nonce;
		g_hash_table_insert(s->grants, g_strdup(backend), g);
	}
	if (g->incarnation != incarnation)
		g->several_incarnations = true;
	else if ((int64_t)(nonce - g->nonce) > 0)
		g->nonce = nonce;
	g->expires_us = now_us + BB_PERMIT_TERM_US +
			BB_PERMIT_TERM_US * DRIFT_PERCENT / 100;
	return true;
}

/* A release that arrives after a later request must not free the permit. */
static void release_grant(struct bb_permits *p, const char *service,
			  const char *backend, uint64_t incarnation,
			  uint64_t nonce)
{
	struct service *s = g_hash_table_lookup(p->services, service);
	struct grant *g = s ? g_hash_table_lookup(s->grants, backend) : NULL;

	if (!g || g->several_incarnations || g->incarnation != incarnation ||
	    (int64_t)(nonce - g->nonce) <= 0)
		return;
	g_hash_table_remove(s->grants, backend);
}

static struct bb_bytes bytes(const char *s)
{
	return (struct bb_bytes){ s, strlen(s) };
}

static void accept_grant(struct wanted_permit *w, uint64_t nonce,
			 uint32_t term_ms, uint32_t from)
{
	int64_t term_us = MIN(term_ms * BB_US_PER_MS, BB_PERMIT_TERM_US);

	if (!w || !w->nonce || w->nonce != nonce)
		return;
	w->nonce = 0;
	if (!term_ms) {
		w->attempt++;
		return;
	}
	w->attempt = 0;
	w->granted_by = from;
	w->valid_until_us =
		MAX(w->valid_until_us,
		    w->requested_us + term_us - term_us * DRIFT_PERCENT / 100);
}

static void send_request(struct bb_permits *p, uint32_t host,
			 const struct wanted_permit *w, uint64_t nonce,
			 bool is_release, int64_t now_us)
{
	struct bb_message m = { .type = BB_MESSAGE_PERMIT_REQUEST };

	m.permit_request.incarnation = p->options.incarnation;
	m.permit_request.nonce = nonce;
	m.permit_request.service = bytes(w->service);
	m.permit_request.backend = bytes(w->backend);
	m.permit_request.release = is_release;
	if (host == p->options.self)
		bb_permits_receive(p, host, &m, now_us);
	else if (host != BB_NO_ROW)
		p->options.send(p->options.data, host, &m);
}

/* A new ejection needs a quorum that has accepted that automation is on. */
static bool may_request(const struct bb_permits *p,
			const struct wanted_permit *w, int64_t now_us)
{
	if (w->in_force)
		return true;
	return p->automation && !agreement_unknown_us(p, now_us) &&
	       p->options.agreed_us(p->options.data, now_us) >=
		       BB_PERMIT_ENABLE_WAIT_US;
}

static void request_permit(struct bb_permits *p, struct wanted_permit *w,
			   int64_t now_us)
{
	struct service *s = g_hash_table_lookup(p->services, w->service);
	uint32_t host;

	if (!s || !s->committee || !may_request(p, w, now_us))
		return;
	if (w->nonce)
		w->attempt++;
	host = p->options.holder(p->options.data, s->group, w->attempt);
	if (!++p->nonce)
		p->nonce++;
	w->nonce = p->nonce;
	w->requested_us = now_us;
	send_request(p, host, w, w->nonce, false, now_us);
}

void bb_permits_acquire(struct bb_permits *p, const char *service,
			const char *backend, int64_t now_us)
{
	struct wanted_permit *w = g_hash_table_lookup(p->wanted, backend);

	if (w)
		return;
	w = g_new0(struct wanted_permit, 1);
	w->service = g_strdup(service);
	w->backend = g_strdup(backend);
	w->valid_until_us = now_us;
	w->granted_by = BB_NO_ROW;
	g_hash_table_insert(p->wanted, w->backend, w);
	request_permit(p, w, now_us);
}

void bb_permits_release(struct bb_permits *p, const char *backend,
			int64_t now_us)
{
	struct wanted_permit *w = g_hash_table_lookup(p->wanted, backend);

	if (!w)
		return;
	if (w->valid_until_us > now_us && w->granted_by != BB_NO_ROW)
		send_request(p, w->granted_by, w, ++p->nonce, true, now_us);
	g_hash_table_remove(p->wanted, backend);
}

int64_t bb_permits_valid_until(const struct bb_permits *p, const char *backend,
			       int64_t now_us)
{
	const struct wanted_permit *w = g_hash_table_lookup(p->wanted, backend);
	int64_t agreed_us;

	if (!w)
		return now_us;
	if (w->valid_until_us > now_us)
		return w->valid_until_us;
	if (p->automation || w->frozen_void)
		return MAX(w->valid_until_us, w->reacquire_until_us);
	agreed_us = p->options.agreed_us(p->options.data, now_us);
	if (w->in_force && agreed_us >= 0 &&
	    now_us - agreed_us + BB_PERMIT_FREEZE_WAIT_US <= w->valid_until_us)
		return now_us + BB_PERMIT_REACQUIRE_US -
		       agreement_unknown_us(p, now_us);
	return w->valid_until_us;
}

int64_t bb_permits_acquire_or_release(void *permits, const char *service,
				      const char *backend, bool want,
				      int64_t now_us)
{
	if (want)
		bb_permits_acquire(permits, service, backend, now_us);
	else
		bb_permits_release(permits, backend, now_us);
	return bb_permits_valid_until(permits, backend, now_us);
}

static void send_grant(struct bb_permits *p, uint32_t from,
		       const struct bb_message_permit_request *r, bool granted,
		       int64_t now_us)
{
	struct bb_message m = { .type = BB_MESSAGE_PERMIT_GRANT };

	m.permit_grant.incarnation = p->options.incarnation;
	m.permit_grant.nonce = r->nonce;
	m.permit_grant.service = r->service;
	m.permit_grant.backend = r->backend;
	m.permit_grant.term_ms =
		granted ? (uint32_t)(BB_PERMIT_TERM_US / BB_US_PER_MS) : 0;
	if (from == p->options.self)
		bb_permits_receive(p, from, &m, now_us);
	else
		p->options.send(p->options.data, from, &m);
}

void bb_permits_receive(struct bb_permits *p, uint32_t from,
			const struct bb_message *m, int64_t now_us)
{
	const struct bb_message_permit_request *r = &m->permit_request;
	const struct bb_message_permit_grant *g = &m->permit_grant;
	g_autofree char *service = NULL;
	g_autofree char *backend = NULL;

	if (m->type == BB_MESSAGE_PERMIT_GRANT) {
		backend = g_strndup(g->backend.data, g->backend.size);
		accept_grant(g_hash_table_lookup(p->wanted, backend), g->nonce,
			     g->term_ms, from);
		return;
	}
	if (m->type != BB_MESSAGE_PERMIT_REQUEST)
		return;
	service = g_strndup(r->service.data, r->service.size);
	backend = g_strndup(r->backend.data, r->backend.size);
	if (r->release) {
		release_grant(p, service, backend, r->incarnation, r->nonce);
		return;
	}
	send_grant(p, from, r,
		   grant(p, service, backend, r->incarnation, r->nonce, now_us),
		   now_us);
}

static void log_frozen(const struct bb_permits *p, struct wanted_permit *w,
		       int64_t now_us)
{
	bool frozen = w->in_force && !p->automation &&
		      w->valid_until_us <= now_us;

	if (frozen && !w->frozen)
		bb_log_info(BB_LOG_HEALTH,
			    "ejection of %s stays in force without a permit "
			    "while automation is off",
			    w->backend);
	w->frozen = frozen;
}

void bb_permits_tick(struct bb_permits *p, int64_t now_us)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, p->wanted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct wanted_permit *w = value;
		int64_t since_us = now_us - w->requested_us;

		w->in_force = bb_permits_valid_until(p, w->backend, now_us) >
			      now_us;
		log_frozen(p, w, now_us);
		if (w->valid_until_us - now_us >
			    BB_PERMIT_TERM_US - RENEW_AFTER_US &&
		    !w->nonce)
			continue;
		if (since_us >= RETRY_INTERVAL_US)
			request_permit(p, w, now_us);
	}
}

uint32_t bb_permits_outstanding(const struct bb_permits *p, const char *service,
				int64_t now_us)
{
	const struct service *s = g_hash_table_lookup(p->services, service);
	GHashTableIter iter;
	void *value;
	uint32_t nr = 0;

	if (!s)
		return 0;
	g_hash_table_iter_init(&iter, s->grants);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		nr += !grant_expired(NULL, value, &now_us);
	return nr;
}
