/*
 * States of the backend servers beside this node: judges their evidence, moves
 * them between the states and admits requests. No backend server is ejected, or
 * stays ejected, without a valid permit.
 */
#include "baobabward/health.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "health_internal.h"

/* After this time without answers from the pool only failures can eject. */
#define CONSULT_TIMEOUT_US (3 * BB_US_PER_S)
/* Summaries older than this are not used to confirm a suspicion. */
#define SUMMARY_CONFIRM_AGE_MAX_US (3 * BB_US_PER_S)
/* A suspicion ends after this time without evidence. */
#define SUSPICION_TIMEOUT_US (5 * BB_US_PER_S)
/*
 * After this multiple of the last hold-off without an ejection, and at least
 * HOLD_OFF_RESET_MIN_US, the next hold-off is HOLD_OFF_MIN_US again.
 */
#define HOLD_OFF_RESET_FACTOR 4
#define HOLD_OFF_RESET_MIN_US (60 * BB_US_PER_S)
/*
 * When the permit is not renewed, trials start before the end of the hold-off,
 * once less than this remains of the permit.
 */
#define PERMIT_REMAINING_MIN_US (3 * BB_US_PER_S)
/*
 * Slow probes lead to the ejection of a backend server with traffic only if its
 * requests are slow too, with a probability by chance below this: the response
 * time of its health endpoint can be misleading.
 */
#define REQUESTS_SLOW_PROBABILITY 1e-2

const char *const bb_health_state_string[] = {
	"ok", "suspect", "ejected", "trial", "ramping", "backing-off",
};

static_assert(G_N_ELEMENTS(bb_health_state_string) == BB_HEALTH_STATE_COUNT,
	      "bb_health_state_string must have a name for each state");

const char *const bb_outcome_kind_string[] = {
	"ok",	     "error", "connect-failure", "timeout",
	"truncated", "shed",  "client-error",	 "silent-connection",
};

static_assert(G_N_ELEMENTS(bb_outcome_kind_string) == BB_OUTCOME_KIND_COUNT,
	      "bb_outcome_kind_string must have a name for each kind");

static void backend_delete(void *data)
{
	struct bb_health_backend *b = data;

	g_free(b->name);
	g_free(b);
}

struct bb_health *bb_health_new(const struct bb_health_options *options)
{
	struct bb_health *h = g_new0(struct bb_health, 1);

	h->options = *options;
	h->backends = g_ptr_array_new_with_free_func(backend_delete);
	h->by_handle = g_hash_table_new(NULL, NULL);
	h->pools =
		g_ptr_array_new_with_free_func((GDestroyNotify)bb_pool_delete);
	h->withheld = g_array_new(FALSE, TRUE,
				  sizeof(struct bb_health_withheld_action));
	h->automation = true;
	return h;
}

void bb_health_delete(struct bb_health *h)
{
	if (!h)
		return;
	g_ptr_array_unref(h->backends);
	g_ptr_array_unref(h->pools);
	g_hash_table_destroy(h->by_handle);
	g_array_unref(h->withheld);
	g_free(h);
}

struct bb_health_backend *bb_health_lookup(const struct bb_health *h,
					   uint32_t handle)
{
	return g_hash_table_lookup(h->by_handle, GUINT_TO_POINTER(handle));
}

static int64_t update_permit(const struct bb_health *h,
			     const struct bb_health_backend *b, bool want,
			     int64_t now_us)
{
	return h->options.permit_until(h->options.data, b->pool->name, b->name,
				       want, now_us);
}

void bb_health_consult_pool(struct bb_health_backend *b, int64_t now_us)
{
	if (!b->pool->suspects++)
		b->pool->suspect_since_us = now_us;
}

static bool consults_pool(const struct bb_health_backend *b)
{
	return b->state == BB_HEALTH_SUSPECT ||
	       (b->state == BB_HEALTH_TRIAL && b->trials_slow);
}

static void set_state(struct bb_health_backend *b, enum bb_health_state state,
		      int64_t now_us)
{
	if (consults_pool(b))
		b->pool->suspects--;
	if (state == BB_HEALTH_SUSPECT)
		bb_health_consult_pool(b, now_us);
	b->state = state;
	b->state_since_us = now_us;
	b->withheld_logged = false;
	b->trials_ok = b->trials_slow = b->trials_unknown = 0;
	b->trial_running = false;
	b->dirty = true;
}

void bb_health_begin_trials(struct bb_health_backend *b, int64_t now_us)
{
	bb_health_clear_evidence(b);
	set_state(b, BB_HEALTH_TRIAL, now_us);
}

void bb_health_clear_evidence(struct bb_health_backend *b)
{
	for (int i = 0; i < BB_HEALTH_CLASSES; i++)
		b->evidence[i].nr = 0;
	b->probe_wanted = false;
}

/* Records an action withheld while automation is off, once per state. */
void bb_health_record_withheld(struct bb_health *h,
			       const struct bb_health_backend *b,
			       enum bb_health_state state, int64_t now_us)
{
	struct bb_health_withheld_action w = { .backend = b->handle,
					       .state = state,
					       .at_us = now_us };

	for (guint i = 0; i < h->withheld->len; i++) {
		const struct bb_health_withheld_action *o = &g_array_index(
			h->withheld, struct bb_health_withheld_action, i);

		if (o->backend == b->handle && o->state == state)
			return;
	}
	if (h->withheld->len >= WITHHELD_ACTIONS_MAX)
		return;
	g_strlcpy(w.reason, b->reason, sizeof(w.reason));
	g_array_append_val(h->withheld, w);
	bb_metrics_add(BB_METRIC_EJECTIONS_WITHHELD,
		       state == BB_HEALTH_EJECTED);
	bb_log_info(BB_LOG_HEALTH,
		    "%s would move to %s, but automation is off: %s", b->name,
		    bb_health_state_string[state], b->reason);
}

static struct bb_health_backend *backend_new(const char *name)
{
	struct bb_health_backend *b = g_new0(struct bb_health_backend, 1);

	b->name = g_strdup(name);
	b->in_service = true;
	b->hold_off_us = HOLD_OFF_MIN_US;
	b->state_since_us = b->last_evidence_us = b->readmitted_us =
		b->ramp_started_us = NEVER_US;
	b->back_off_until_us = b->last_outcome_us = b->probe_sent_us = NEVER_US;
	b->probe_done_us = b->probe_bucket_empty_us = b->discounted_us =
		NEVER_US;
	b->restart_us = b->trial_sent_us = NEVER_US;
	b->reused_answer_us = b->possible_restart_us = b->probe_trigger_us =
		b->last_asked_us = NEVER_US;
	b->back_off_us = BACK_OFF_MIN_US;
	return b;
}

static struct bb_health_backend *steal_backend(GPtrArray *from,
					       const char *name)
{
	for (guint i = 0; i < from->len; i++) {
		struct bb_health_backend *b = from->pdata[i];

		if (!strcmp(b->name, name))
			return g_ptr_array_steal_index_fast(from, i);
	}
	return NULL;
}

static struct bb_pool *pool_get(struct bb_health *h, const struct bb_config *c,
				uint32_t service, GHashTable *old)
{
	struct bb_pool *p;

	for (guint i = 0; i < h->pools->len; i++) {
		p = h->pools->pdata[i];
		if (p->service == service)
			return p;
	}
	p = bb_pool_new(c, service, h->options.host,
			g_hash_table_lookup(old, c->services[service].name));
	g_ptr_array_add(h->pools, p);
	return p;
}

static void set_in_service(struct bb_health *h, struct bb_health_backend *b,
			   bool in_service, int64_t now_us)
{
	if (b->in_service == in_service)
		return;
	b->in_service = in_service;
	bb_health_clear_evidence(b);
	b->reason[0] = '\0';
	if (!in_service &&
	    (b->state == BB_HEALTH_EJECTED || b->state == BB_HEALTH_TRIAL))
		update_permit(h, b, false, now_us);
	/* The caller corrects the pool's number of suspects. */
	b->state = BB_HEALTH_OK;
	if (in_service && h->automation)
		b->ramp_started_us = now_us;
}

/* The backend server was removed, or moved to another service. */
static void leave_service(struct bb_health *h, struct bb_health_backend *b,
			  int64_t now_us)
{
	update_permit(h, b, false, now_us);
	bb_health_clear_evidence(b);
	b->state = BB_HEALTH_OK;
	b->reason[0] = '\0';
}

/* What is known of a former process does not hold for the one that has started
 * under its name. */
static struct bb_health_backend *
start_again(struct bb_health *h, struct bb_health_backend *old, int64_t now_us)
{
	struct bb_health_backend *b = backend_new(old->name);

	leave_service(h, old, now_us);
	b->pool = old->pool;
	b->in_service = old->in_service;
	b->hold_off_us = old->hold_off_us;
	b->restart_us = now_us;
	backend_delete(old);
	return b;
}

static void set_automation(struct bb_health *h, bool automation, int64_t now_us)
{
	if (h->automation == automation)
		return;
	h->automation = automation;
	if (!automation) {
		h->automation_off_us = now_us;
		return;
	}
	g_array_set_size(h->withheld, 0);
	/* Ramps continue from the weight at which they were frozen. */
	for (guint i = 0; i < h->backends->len; i++) {
		struct bb_health_backend *b = h->backends->pdata[i];

		if (b->ramp_started_us > NEVER_US &&
		    b->ramp_started_us <= h->automation_off_us)
			b->ramp_started_us += now_us - h->automation_off_us;
	}
}

static GHashTable *index_pools_by_name(const struct bb_health *h)
{
	GHashTable *t =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < h->backends->len; i++) {
		const struct bb_health_backend *b = h->backends->pdata[i];

		g_hash_table_replace(t, g_strdup(b->pool->name), b->pool);
	}
	return t;
}

/* Copies the withheld actions of a backend server, with its new handle. */
static void keep_withheld(struct bb_health *h, const GArray *actions,
			  uint32_t old_handle, uint32_t handle)
{
	for (guint i = 0; i < actions->len; i++) {
		struct bb_health_withheld_action w = g_array_index(
			actions, struct bb_health_withheld_action, i);

		if (w.backend != old_handle)
			continue;
		w.backend = handle;
		g_array_append_val(h->withheld, w);
	}
}

void bb_health_set_config(struct bb_health *h, const struct bb_config *c,
			  int64_t now_us)
{
	g_autoptr(GHashTable) pools_by_name = index_pools_by_name(h);
	GPtrArray *old_backends = h->backends, *old_pools = h->pools;
	GArray *actions = h->withheld;

	h->backends = g_ptr_array_new_with_free_func(backend_delete);
	h->pools =
		g_ptr_array_new_with_free_func((GDestroyNotify)bb_pool_delete);
	h->withheld = g_array_new(FALSE, TRUE,
				  sizeof(struct bb_health_withheld_action));
	g_hash_table_remove_all(h->by_handle);
	for (uint32_t i = 0; i < c->backends_nr; i++) {
		const struct bb_backend *row = &c->backends[i];
		struct bb_health_backend *b;

		if (row->host != h->options.host)
			continue;
		b = steal_backend(old_backends, row->name);
		if (!b)
			b = backend_new(row->name);
		else if (b->started_ms != row->started_ms &&
			 now_us - b->restart_us > RESTART_INTERVAL_US)
			b = start_again(h, b, now_us);
		else
			keep_withheld(h, actions, b->handle, i);
		b->started_ms = row->started_ms;
		if (b->pool &&
		    strcmp(b->pool->name, c->services[row->service].name) != 0)
			leave_service(h, b, now_us);
		b->handle = i;
		b->pool = pool_get(h, c, row->service, pools_by_name);
		b->dirty = true;
		b->configured_in_service = row->state == BB_BACKEND_IN &&
					   !c->hosts[row->host].evacuated;
		set_in_service(h, b, b->configured_in_service && !h->leaving,
			       now_us);
		b->pool->suspects += consults_pool(b);
		g_ptr_array_add(h->backends, b);
		g_hash_table_insert(h->by_handle, GUINT_TO_POINTER(i), b);
	}
	for (guint i = 0; i < old_backends->len; i++)
		leave_service(h, old_backends->pdata[i], now_us);
	set_automation(h, c->automation, now_us);
	g_array_unref(actions);
	g_ptr_array_unref(old_backends);
	g_ptr_array_unref(old_pools);
}

void bb_health_set_leaving(struct bb_health *h, bool leaving, int64_t now_us)
{
	h->leaving = leaving;
	for (guint i = 0; i < h->backends->len; i++) {
		struct bb_health_backend *b = h->backends->pdata[i];
		bool suspect = b->state == BB_HEALTH_SUSPECT;

		set_in_service(h, b, b->configured_in_service && !leaving,
			       now_us);
		if (suspect && b->state != BB_HEALTH_SUSPECT)
			b->pool->suspects--;
	}
}

void bb_health_readmit(struct bb_health *h, struct bb_health_backend *b,
		       int64_t now_us, const char *why)
{
	bb_health_clear_evidence(b);
	set_state(b, BB_HEALTH_OK, now_us);
	b->readmitted_us = now_us;
	/* While automation is off, a ramp would stay at its smallest weight. */
	if (h->automation)
		b->ramp_started_us = now_us;
	update_permit(h, b, false, now_us);
	bb_metrics_add(BB_METRIC_READMISSIONS, 1);
	bb_log_info(BB_LOG_HEALTH, "%s is readmitted: %s", b->name, why);
	snprintf(b->reason, sizeof(b->reason), "readmitted: %s", why);
}

void bb_health_eject(struct bb_health_backend *b, int64_t now_us)
{
	if (b->readmitted_us > NEVER_US &&
	    now_us - b->readmitted_us >
		    MAX(HOLD_OFF_RESET_FACTOR * b->hold_off_us,
			HOLD_OFF_RESET_MIN_US))
		b->hold_off_us = HOLD_OFF_MIN_US;
	else if (b->readmitted_us > NEVER_US || b->state == BB_HEALTH_TRIAL)
		b->hold_off_us = MIN(b->hold_off_us * 2, HOLD_OFF_MAX_US);
	b->hold_off_until_us = now_us + b->hold_off_us;
	bb_health_clear_evidence(b);
	set_state(b, BB_HEALTH_EJECTED, now_us);
	bb_metrics_add(BB_METRIC_EJECTIONS, 1);
	bb_log_warning(BB_LOG_HEALTH, "%s is ejected for %" PRId64 " s: %s",
		       b->name, b->hold_off_us / BB_US_PER_S, b->reason);
}

bool bb_health_is_ramping(const struct bb_health *h,
			  const struct bb_health_backend *b, int64_t now_us)
{
	if (!h->automation)
		now_us = MIN(now_us, h->automation_off_us);
	return now_us >= b->ramp_started_us &&
	       now_us - b->ramp_started_us < RAMP_US;
}

static void judge_class(const struct bb_health_backend *b,
			const struct bb_evidence_reference *refs,
			uint32_t class_id, int64_t latency_since_us,
			int64_t now_us, struct bb_evidence_result *out)
{
	bool merged = class_id == CLASS_MERGED;
	uint32_t first = merged ? 0 : class_id;

	bb_evidence_judge_merged(&b->evidence[first], &refs[first],
				 merged ? BB_HEALTH_ROUTE_CLASSES : 1,
				 now_us - BB_EVIDENCE_WINDOW_US,
				 latency_since_us, out);
	out->class_id = class_id;
}

static void keep_stronger(const struct bb_evidence_result *r,
			  struct bb_evidence_result *out)
{
	int64_t bad_us = MAX(out->bad_us, r->bad_us);
	double slow = MIN(out->slow_probability, r->slow_probability);

	if (r->level > out->level)
		*out = *r;
	out->bad_us = bad_us;
	out->slow_probability = slow;
}

/*
 * Judges each class, and with few requests the route classes together; the
 * strongest finding wins.
 */
static void judge(const struct bb_health *h, const struct bb_health_backend *b,
		  int64_t now_us, struct bb_evidence_result *out)
{
	struct bb_evidence_reference refs[BB_HEALTH_CLASSES];
	struct bb_evidence_result r;
	int64_t since_us = now_us - SUMMARY_AGE_MAX_US;
	/* Latencies during a ramp are not judged: a cold start is slow. */
	int64_t latency_since_us = bb_health_is_ramping(h, b, now_us) ?
					   INT64_MAX :
					   b->ramp_started_us + RAMP_US;

	if (b->state == BB_HEALTH_SUSPECT)
		since_us = MAX(b->state_since_us,
			       now_us - SUMMARY_CONFIRM_AGE_MAX_US);
	*out = (struct bb_evidence_result){ .level = BB_EVIDENCE_NONE,
					    .slow_probability = 1 };
	for (uint32_t i = 0; i < BB_HEALTH_CLASSES; i++)
		if (b->evidence[i].nr)
			bb_pool_reference(b->pool, b->handle, i, since_us,
					  INT64_MIN, &refs[i]);
	for (uint32_t i = 0; i < BB_HEALTH_ROUTE_CLASSES; i++) {
		if (!b->evidence[i].nr)
			continue;
		judge_class(b, refs, i, latency_since_us, now_us, &r);
		keep_stronger(&r, out);
	}
	if (bb_health_has_low_traffic(b, now_us)) {
		judge_class(b, refs, CLASS_MERGED, latency_since_us, now_us,
			    &r);
		keep_stronger(&r, out);
	}
	if (!b->evidence[BB_HEALTH_CLASS_PROBE].nr)
		return;
	judge_class(b, refs, BB_HEALTH_CLASS_PROBE, latency_since_us, now_us,
		    &r);
	if (r.slow && r.level == BB_EVIDENCE_STRONG &&
	    out->slow_probability >= REQUESTS_SLOW_PROBABILITY &&
	    !bb_health_is_idle(b, now_us))
		r.level = BB_EVIDENCE_WEAK;
	keep_stronger(&r, out);
}

static void describe_finding(struct bb_health_backend *b,
			     const struct bb_evidence_result *r)
{
	if (r->slow)
		snprintf(b->reason, sizeof(b->reason),
			 "%u of the last %u responses took over %.1f ms, the "
			 "limit from the rest of the pool",
			 r->bad, r->nr, r->limit_us / 1000);
	else
		snprintf(b->reason, sizeof(b->reason),
			 "%u of the last %u requests or probes failed, %.0f%% "
			 "expected from the rest of the pool",
			 r->bad, r->nr, 100 * r->expected);
}

/*
 * Uses current summaries only, so that a pool or zone that became slow at the
 * same time is recognized even with few outcomes.
 */
bool bb_health_confirm_slow(const struct bb_health_backend *b,
			    const struct bb_evidence_result *r,
			    int64_t latency_since_us, int64_t now_us)
{
	struct bb_evidence_reference refs[BB_HEALTH_CLASSES] = { 0 };
	struct bb_evidence_result recheck;

	for (uint32_t i = 0; i < BB_HEALTH_CLASSES; i++)
		if (bb_pool_zone_has_recent(b->pool, b->handle, i, r->since_us))
			bb_pool_reference(b->pool, b->handle, i,
					  now_us - SUMMARY_CONFIRM_AGE_MAX_US,
					  r->since_us, &refs[i]);
	judge_class(b, refs, r->class_id, latency_since_us, now_us, &recheck);
	return recheck.level == BB_EVIDENCE_STRONG && recheck.slow;
}

/*
 * With few requests, probes show the slowness of a warm-up before a request
 * shows that the restart closed the connections. Unless a response arrives on a
 * connection that is older than a warm-up, the latencies of the first RAMP_US
 * of the suspicion are not judged.
 */
static bool may_be_warming_up(const struct bb_health_backend *b,
			      const struct bb_evidence_result *r,
			      int64_t now_us)
{
	if (!bb_health_has_low_traffic(b, now_us))
		return false;
	for (int i = 0; i < BB_HEALTH_ROUTE_CLASSES; i++)
		if (bb_evidence_has_older_connection(&b->evidence[i],
						     r->since_us - RAMP_US,
						     r->since_us))
			return false;
	return true;
}

static bool is_confirmed(const struct bb_health_backend *b,
			 const struct bb_evidence_result *r, int64_t now_us)
{
	int64_t latency_since_us = b->ramp_started_us + RAMP_US;

	if (r->level != BB_EVIDENCE_STRONG ||
	    now_us - b->state_since_us < CONFIRM_MIN_US)
		return false;
	if (now_us - b->state_since_us < CONSULT_TIMEOUT_US &&
	    !bb_pool_consulted(b->pool, b->handle,
			       b->state_since_us + CONFIRM_MIN_US))
		return false;
	if (r->slow && r->class_id >= BB_HEALTH_ROUTE_CLASSES &&
	    may_be_warming_up(b, r, now_us))
		latency_since_us =
			MAX(latency_since_us, b->state_since_us + RAMP_US);
	if (r->slow && !bb_health_confirm_slow(b, r, latency_since_us, now_us))
		return false;
	/* Only a probe's new connection tells dead connections
	 * from failures. */
	return r->dead_connection_excluded ||
	       b->probe_done_us >= b->state_since_us;
}

static void tick_suspect(struct bb_health *h, struct bb_health_backend *b,
			 int64_t now_us)
{
	struct bb_evidence_result r;

	judge(h, b, now_us, &r);
	if (r.level > BB_EVIDENCE_NONE) {
		b->last_evidence_us = now_us;
		describe_finding(b, &r);
	}
	if (now_us - MAX(b->last_evidence_us, b->state_since_us) >
	    SUSPICION_TIMEOUT_US) {
		update_permit(h, b, false, now_us);
		set_state(b, BB_HEALTH_OK, now_us);
		b->reason[0] = '\0';
		return;
	}
	if (h->options.observe_only || !is_confirmed(b, &r, now_us))
		return;
	if (!h->automation) {
		bb_health_record_withheld(h, b, BB_HEALTH_EJECTED, now_us);
		return;
	}
	if (update_permit(h, b, true, now_us) > now_us) {
		bb_health_eject(b, now_us);
		return;
	}
	if (!b->withheld_logged &&
	    now_us - b->state_since_us > CONSULT_TIMEOUT_US) {
		bb_metrics_add(BB_METRIC_EJECTIONS_WITHHELD, 1);
		bb_log_warning(BB_LOG_HEALTH,
			       "%s is not ejected, no permit within the "
			       "floor: %s",
			       b->name, b->reason);
		b->withheld_logged = true;
	}
}

static void tick_ok(struct bb_health *h, struct bb_health_backend *b,
		    int64_t now_us)
{
	struct bb_evidence_result r;

	if (!b->dirty)
		return;
	b->dirty = false;
	judge(h, b, now_us, &r);
	b->probe_trigger_us = MAX(b->probe_trigger_us, r.bad_us);
	if (r.level == BB_EVIDENCE_NONE && !b->probe_wanted)
		return;
	if (r.level > BB_EVIDENCE_NONE)
		describe_finding(b, &r);
	b->probe_wanted = false;
	b->last_evidence_us = now_us;
	set_state(b, BB_HEALTH_SUSPECT, now_us);
}

/* Without a valid permit, requests are admitted again despite the evidence. */
static void tick_ejected(struct bb_health *h, struct bb_health_backend *b,
			 int64_t now_us)
{
	int64_t left_us = update_permit(h, b, true, now_us) - now_us;

	if (left_us <= 0) {
		bb_health_readmit(h, b, now_us,
				  "the permit could not be renewed");
		return;
	}
	if (b->state == BB_HEALTH_TRIAL && h->automation)
		bb_health_judge_trials(b, now_us);
	if (b->state == BB_HEALTH_TRIAL || (now_us < b->hold_off_until_us &&
					    left_us >= PERMIT_REMAINING_MIN_US))
		return;
	if (!h->automation) {
		bb_health_record_withheld(h, b, BB_HEALTH_TRIAL, now_us);
		return;
	}
	bb_health_begin_trials(b, now_us);
}

void bb_health_tick(struct bb_health *h, int64_t now_us)
{
	for (guint i = 0; i < h->backends->len; i++) {
		struct bb_health_backend *b = h->backends->pdata[i];

		if (!b->in_service)
			continue;
		if (b->state == BB_HEALTH_OK)
			tick_ok(h, b, now_us);
		else if (b->state == BB_HEALTH_SUSPECT)
			tick_suspect(h, b, now_us);
		else
			tick_ejected(h, b, now_us);
	}
}

bool bb_health_admit(struct bb_health *h, uint32_t backend, bool idempotent,
		     int64_t now_us)
{
	struct bb_health_backend *b = bb_health_lookup(h, backend);

	if (!b || !b->in_service || b->state < BB_HEALTH_EJECTED)
		return true;
	/* The permit may have expired since the last tick. */
	if (update_permit(h, b, true, now_us) <= now_us) {
		tick_ejected(h, b, now_us);
		return true;
	}
	if (b->state == BB_HEALTH_EJECTED || !idempotent || !h->automation)
		return false;
	if (b->trial_running && now_us - b->trial_sent_us < TRIAL_TIMEOUT_US)
		return false;
	b->trial_running = true;
	b->trial_sent_us = now_us;
	return true;
}
