#include "libnode/entry_private.h"

#include <poll.h>
#include <string.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "libnode/loop.h"

/* Longest wait for the answer to a CANCEL; it may extend past the deadline. */
#define CANCEL_TIMEOUT_US (200 * BB_US_PER_MS)
/* Age from which a request renews its session in the background. */
#define SESSION_RENEW_US (5 * BB_US_PER_S)
/*
 * Age from which a session is renewed before a request is sent. At this age the
 * margin for clock drift shortens the deadline by 0.2 s. With 580 nodes and
 * 100,000 requests/s, a pair of nodes exchanges 0.3 requests/s; 0.25% of the
 * gaps between them are longer than this, but 22% are longer than
 * SESSION_RENEW_US.
 */
#define SESSION_MAX_AGE_US (20 * BB_US_PER_S)
/* Age from which an attempt is checked for a lost connection. */
#define LOST_CHECK_MIN_AGE_US (20 * BB_US_PER_MS)
/*
 * Longest wait until the receiver of a request asks for its large body. A node of
 * a version without EXECUTE_LARGE never does.
 */
#define BODY_ASK_TIMEOUT_US (1 * BB_US_PER_S)
/* Time for which no further large body is announced to such a node. */
#define SMALL_BODIES_US (10 * BB_US_PER_S)
/* Interval of repeating a HELLO, which fails while the connection is set up. */
#define HELLO_RETRY_US (2 * BB_US_PER_MS)
/* Age up to which a reported load decides whether an attempt is sent: the loop
 * iteration of a busy node. Older ones are only weighed by the load balancer. */
#define REPORT_DECIDES_US (100 * BB_US_PER_MS)
/* Longest wait for a WELCOME; after it the path counts as failed. */
#define HELLO_TIMEOUT_US (200 * BB_US_PER_MS)
/* Retry-After of answers with status 503 or 429, without the policy
 * rank_order. */
#define RETRY_AFTER_MS 1000u
/* Most services, and most accounts, whose returns are kept; above the number of
 * accounts of any deployment that has the policy. */
#define RETURNS_MAX 8192u

static void release_path(struct bb_attempts *t)
{
	if (t->path)
		bb_path_release(t->path);
	t->path = NULL;
}

void bb_attempts_finish(struct bb_attempts *t)
{
	struct bb_entry *e = t->entry;
	struct bb_call *c = t->call;

	bb_attempts_stop_waiting(t);
	release_path(t);
	bb_loop_remove(&t->timer);
	bb_loop_remove(&t->hangup_watch);
	if (t->state == ATTEMPT_SENT || t->state == ATTEMPT_CANCELLING)
		g_hash_table_remove(e->attempts, &t->id.sequence);
	if (t->key_recorded)
		bb_attempts_store_outcome(t);
	g_hash_table_remove(e->calls, t);
	bb_entry_spans_end(&t->spans, c);
	c->attempts = NULL;
	c->state = BB_CALL_ANSWERED;
	g_free(t);
	e->o.finished(e->o.data, c);
}

static struct bb_returns *get_returns(GHashTable *all, const char *name)
{
	struct bb_returns *r = g_hash_table_lookup(all, name);

	if (r)
		return r;
	if (g_hash_table_size(all) >= RETURNS_MAX)
		g_hash_table_remove_all(all);
	r = g_new0(struct bb_returns, 1);
	g_hash_table_insert(all, g_strdup(name), r);
	return r;
}

/* Each priority has returns of its own: the many of low priority must not send
 * away one of high priority for long, which is served before them. */
static struct bb_returns *service_returns(const struct bb_attempts *t)
{
	const struct bb_call *c = t->call;
	const struct bb_account *a =
		c->account == BB_NO_ROW ? NULL : bb_call_account(c);
	const char *service = c->snapshot->config->services[c->service].name;
	char key[BB_NAME_MAX + 16];

	g_snprintf(key, sizeof(key), "%s %u", service,
		   a && a->ranked ? a->priority : bb_call_route(c)->priority);
	return get_returns(t->entry->service_returns, key);
}

static struct bb_returns *account_returns(const struct bb_attempts *t)
{
	return get_returns(t->entry->account_returns,
			   bb_call_account_name(t->call));
}

static void note_served(const struct bb_attempts *t)
{
	int64_t now_us = bb_clock_now_us();

	if (!t->entry->snapshot->config->policies.rank_order)
		return;
	bb_returns_served(service_returns(t), now_us - t->sent_us, now_us);
	bb_returns_served(account_returns(t), 0, now_us);
}

static uint32_t retry_after_ms(const struct bb_attempts *t,
			       enum bb_reason reason)
{
	struct bb_entry *e = t->entry;
	unsigned int status = bb_reason_status(reason);
	int64_t now_us = bb_clock_now_us();
	struct bb_returns *r;
	struct bb_refusal x;

	if (status != 503 && status != 429)
		return 0;
	if (!e->snapshot->config->policies.rank_order)
		return RETRY_AFTER_MS;
	r = status == 429 ? account_returns(t) : service_returns(t);
	x = (struct bb_refusal){
		.wait_us = status == 429 ? t->token_wait_us :
					   bb_returns_wait_us(r, &t->last_load),
		.left_us = t->call->deadline_us - now_us,
		.random = g_rand_double(e->random),
	};
	return (uint32_t)(bb_returns_promise(r, &x, now_us) / BB_US_PER_MS);
}

void bb_attempts_refuse(struct bb_attempts *t, enum bb_verdict verdict,
			enum bb_reason reason)
{
	uint32_t retry_ms;

	if (t->has_answer) {
		bb_attempts_finish(t);
		return;
	}
	if (verdict != BB_VERDICT_NOT_RUN)
		bb_log(BB_LOG_TRAFFIC, G_LOG_LEVEL_INFO, t->call->id,
		       "request failed with verdict %s: %s",
		       bb_verdict_string[verdict], bb_reason_string[reason]);
	retry_ms = retry_after_ms(t, reason);
	/* The status belongs to the verdict, not to a later attempt. */
	if (verdict != BB_VERDICT_NOT_RUN && t->ran_reason != BB_REASON_NONE)
		reason = t->ran_reason;
	bb_call_refuse(t->call, verdict, reason, retry_ms);
	bb_attempts_finish(t);
}

static uint32_t call_service(const struct bb_attempts *t)
{
	const struct bb_config *own = t->call->snapshot->config;
	const char *name = own->services[t->call->service].name;

	return bb_config_find_service(t->entry->snapshot->config, name,
				      strlen(name));
}

static struct bb_balance *call_balance(const struct bb_attempts *t)
{
	uint32_t service = call_service(t);

	return service == BB_NO_ROW ? NULL : t->entry->balances[service];
}

static struct bb_bytes text(const char *s)
{
	return (struct bb_bytes){ s, strlen(s) };
}

static uint64_t headers_bytes(const struct bb_header *h, size_t nr)
{
	uint64_t bytes = 0;

	for (size_t i = 0; i < nr; i++)
		bytes += h[i].name.size + h[i].value.size;
	return bytes;
}

static uint64_t request_bytes(const struct bb_call *c)
{
	return c->body->len + strlen(c->target) +
	       headers_bytes((struct bb_header *)(void *)c->headers->data,
			     c->headers->len);
}

static struct bb_cost_kind cost_kind(const struct bb_call *c)
{
	const struct bb_config *config = c->snapshot->config;

	return (struct bb_cost_kind){
		.service = text(config->services[c->service].name),
		.route = text(bb_call_route(c)->name),
		.method = text(c->method),
		.account = text(bb_call_account_name(c)),
		.body_bytes = c->body->len,
	};
}

/* Fills in what the choice has to know of the request, if the policy asks for
 * it. */
static void set_placement(struct bb_attempts *t)
{
	struct bb_entry *e = t->entry;
	const struct bb_call *c = t->call;
	int64_t target_us = bb_call_route(c)->target_latency_ms * BB_US_PER_MS;
	struct bb_cost_estimate x;
	struct bb_cost_kind kind;

	t->placement = (struct bb_placement){ 0 };
	if (!e->snapshot->config->policies.place_by_cost)
		return;
	if (!e->cost)
		e->cost = bb_cost_new(0);
	kind = cost_kind(c);
	x = bb_cost_expect(e->cost, &kind);
	t->placement = (struct bb_placement){
		.cost_us = x.mean_us,
		.service_us = x.service_mean_us,
		.bytes = request_bytes(c) + x.response_bytes,
		.target_us = target_us ? c->arrived_us + target_us : 0,
		.deadline_us = c->deadline_us,
	};
}

static void learn_cost(struct bb_attempts *t, const struct bb_message_result *r)
{
	struct bb_entry *e = t->entry;
	struct bb_cost_kind kind;
	const struct bb_cost_sample sample = {
		.service_us = r->service_us,
		.speed_permille = r->load.speed_permille,
		.response_bytes =
			r->body.size + headers_bytes(r->headers, r->headers_nr),
	};

	if (!e->cost || !e->snapshot->config->policies.place_by_cost ||
	    r->status >= 500)
		return;
	kind = cost_kind(t->call);
	bb_cost_learn(e->cost, &kind, &sample, bb_clock_now_us());
}

/* Whether the current attempt is at a node in another availability zone. */
static bool is_in_other_zone(const struct bb_attempts *t)
{
	const struct bb_snapshot *s = t->entry->snapshot;

	return !t->local && t->host != BB_NO_ROW && s->self != BB_NO_ROW &&
	       s->config->hosts[t->host].zone_id !=
		       s->config->hosts[s->self].zone_id;
}

static struct bb_attempt_limits attempt_limits(const struct bb_attempts *t)
{
	const struct bb_route *r = bb_call_route(t->call);

	return (struct bb_attempt_limits){
		.idempotent = r->idempotent,
		.max_backends_reached = r->max_attempts,
		.max_slot_searches = t->entry->o.slot_searches,
		.use_reports = t->entry->snapshot->config->policies
				       .report_bytes_per_s > 0,
		.deadline_us = t->call->deadline_us,
		.placement = &t->placement,
	};
}

static bool choose_backend(struct bb_attempts *t)
{
	struct bb_balance *b = call_balance(t);
	struct bb_attempt_limits limits = attempt_limits(t);
	int64_t now_us = bb_clock_now_us();
	struct bb_choice choice;

	if (!b)
		return false;
	set_placement(t);
	bb_balance_filter_paths(b, t->entry->paths, t->entry->o.keep_path_floor,
				now_us);
	choice = bb_attempt_choose(&t->history, &limits, b, now_us);
	if (choice.backend == BB_NO_ROW)
		return false;
	t->backend = choice.backend;
	t->path = choice.path;
	t->host = t->entry->snapshot->config->backends[t->backend].host;
	t->local = t->host == t->entry->snapshot->self;
	return true;
}

/* Limit that the backend server of the current attempt named, for its node. */
static uint32_t known_limit_milli(const struct bb_attempts *t)
{
	const struct bb_notices *n = t->entry->o.notices;
	double per_s = n ? bb_notices_limit(n, t->call->backend,
					    t->backend_started_ms) :
			   -1;

	/* 0 stands for no limit, so that a limit of 0 becomes the least one. */
	return per_s < 0 || per_s >= UINT32_MAX / 1000 ?
		       0 :
		       MAX(1, (uint32_t)(per_s * 1000));
}

static void fill_execute(struct bb_attempts *t, struct bb_message *m)
{
	const struct bb_call *c = t->call;
	const struct bb_backend *b =
		&t->entry->snapshot->config->backends[t->backend];
	const struct bb_route *r = bb_call_route(c);
	const char *account = bb_call_account_name(c);
	struct bb_message_execute *x = &m->execute;

	memset(m, 0, sizeof(*m));
	m->type = BB_MESSAGE_EXECUTE;
	x->id = t->id;
	x->receiver_incarnation = t->receiver_incarnation;
	x->not_after_us = t->not_after_us;
	x->config_version = t->entry->snapshot->config->version;
	x->idempotent = r->idempotent;
	x->last_resort = t->history.last_resort;
	x->may_wait = t->history.may_wait;
	x->limit_milli = known_limit_milli(t);
	x->cost_us = t->placement.cost_us;
	x->backend = (struct bb_bytes){ b->name, strlen(b->name) };
	x->account = (struct bb_bytes){ account, strlen(account) };
	x->route = (struct bb_bytes){ r->name, strlen(r->name) };
	x->method = (struct bb_bytes){ c->method, strlen(c->method) };
	x->target = (struct bb_bytes){ c->target, strlen(c->target) };
	x->traceparent = (struct bb_bytes){ t->spans.traceparent,
					    strlen(t->spans.traceparent) };
	x->headers = (struct bb_header *)(void *)c->headers->data;
	x->headers_nr = c->headers->len;
	x->body =
		(struct bb_bytes){ (const char *)c->body->data, c->body->len };
}

/* Records how the current attempt ended; true if another one follows. */
static bool decide_retry(struct bb_attempts *t,
			 const struct bb_attempt_outcome *outcome)
{
	struct bb_attempt_limits limits = attempt_limits(t);
	uint32_t service = call_service(t);
	bool no_retry = t->caller_gone || service == BB_NO_ROW;

	return bb_attempt_decide_retry(
		&t->history, &limits, outcome,
		no_retry ? NULL : &t->entry->retry_budgets[service],
		bb_clock_now_us());
}

static void log_failed_attempt(const struct bb_attempts *t,
			       enum bb_verdict verdict, enum bb_reason reason)
{
	const struct bb_entry *e = t->entry;
	const struct bb_config *c = e->snapshot->config;

	bb_log_event(BB_LOG_TRAFFIC, G_LOG_LEVEL_INFO, t->call->id,
		     "attempt_failed",
		     "attempt=%u backend=%s host=%s verdict=%s reason=%s "
		     "sent_ms_ago=%" G_GINT64_FORMAT
		     " config=%" G_GUINT64_FORMAT "."
		     "%" G_GUINT64_FORMAT,
		     t->history.nr, t->call->backend ? t->call->backend : "-",
		     t->host == BB_NO_ROW ? "-" : c->hosts[t->host].name,
		     bb_verdict_string[verdict], bb_reason_string[reason],
		     (bb_clock_now_us() - t->sent_us) / BB_US_PER_MS,
		     c->version, c->revision);
}

static struct bb_session *attempt_session(const struct bb_attempts *t)
{
	const struct bb_entry *e = t->entry;

	if (t->local || t->host == BB_NO_ROW)
		return NULL;
	return bb_sessions_find(e->o.sessions,
				e->snapshot->config->hosts[t->host].name);
}

/*
 * Whether the node of the current attempt, which answered a CANCEL, has ignored
 * the announcement of a large body. What it sends arrives in order.
 */
static bool takes_small_bodies_only(const struct bb_attempts *t)
{
	struct bb_session *s = attempt_session(t);

	if (!s || !t->body_left || t->body_asked)
		return false;
	s->small_bodies_until_us = bb_clock_now_us() + SMALL_BODIES_US;
	return true;
}

void bb_attempts_fail_current(struct bb_attempts *t, enum bb_verdict verdict,
			      enum bb_reason reason)
{
	struct bb_attempt_outcome outcome = { .verdict = verdict };
	struct bb_attempt_limits limits = attempt_limits(t);
	bool search;

	release_path(t);
	/*
	 * While the caller is connected, an attempt is cancelled only because
	 * its time is over.
	 */
	if (reason == BB_REASON_CANCELLED && !t->caller_gone)
		reason = takes_small_bodies_only(t) ? BB_REASON_PEER_LIMIT :
						      BB_REASON_DEADLINE;
	t->body_left = 0;
	outcome.reason = reason;
	search = bb_attempt_found_no_slot(&t->history, &limits, &outcome,
					  bb_clock_now_us());
	bb_entry_spans_end_attempt(&t->spans, verdict, reason, 0);
	if (!search || t->caller_gone)
		log_failed_attempt(t, verdict, reason);
	t->last_reason = reason;
	if (verdict == BB_VERDICT_RAN || (verdict == BB_VERDICT_MAY_HAVE_RUN &&
					  t->ran_reason == BB_REASON_NONE))
		t->ran_reason = reason;
	if (decide_retry(t, &outcome))
		bb_attempts_start_next(t);
	else
		bb_attempts_refuse(t, t->history.verdict, reason);
}

/* The node did not answer, maybe because it has ended after it said that it
 * stops; the next attempt may go to another one. */
static void fail_unanswered(struct bb_attempts *t, enum bb_verdict verdict)
{
	const struct bb_session *s = attempt_session(t);
	bool stopped = verdict == BB_VERDICT_NOT_RUN && s && s->stopping;

	if (!t->local)
		bb_entry_record_path_timeout(t->entry, t->host, t->sent_us,
					     bb_clock_now_us());
	bb_attempts_fail_current(t, verdict,
				 stopped ? BB_REASON_STOPPING :
					   BB_REASON_PEER_SILENT);
}

/* Verdict on the current attempt, which was sent, without word of its receiver. */
static enum bb_verdict unanswered_verdict(const struct bb_attempts *t)
{
	return t->body_left ? BB_VERDICT_NOT_RUN : BB_VERDICT_MAY_HAVE_RUN;
}

/* Leaves out a body that is too large for a message. */
static void announce_body(struct bb_message *m)
{
	struct bb_message_execute x = m->execute;
	size_t size = x.body.size;

	x.body = (struct bb_bytes){ 0 };
	m->type = BB_MESSAGE_EXECUTE_LARGE;
	m->execute_large.execute = x;
	m->execute_large.body_bytes = (uint32_t)MIN(size, UINT32_MAX);
}

static void send_local(struct bb_attempts *t)
{
	struct bb_reply_address to = { .local = true };
	struct bb_message m;

	t->receiver_incarnation = t->entry->o.incarnation;
	t->not_after_us = t->call->deadline_us;
	fill_execute(t, &m);
	bb_metrics_add(BB_METRIC_PLACED_OWN_ZONE, 1);
	bb_adjacent_execute(t->entry->o.adjacent, &to, NULL, &m.execute);
}

static void count_placed(const struct bb_attempts *t)
{
	bool other = is_in_other_zone(t);

	bb_metrics_add(other ? BB_METRIC_PLACED_OTHER_ZONE :
			       BB_METRIC_PLACED_OWN_ZONE,
		       1);
	if (other)
		bb_metrics_add(BB_METRIC_ZONE_BYTES, request_bytes(t->call));
}

static int send_execute(const struct bb_attempts *t, const struct bb_session *s,
			struct bb_message *m, struct bb_error *err)
{
	const struct bb_entry_options *o = &t->entry->o;

	if (!t->body_left)
		return o->send(o->data, t->host, m, err);
	if (bb_clock_now_us() < s->small_bodies_until_us)
		return bb_error_set(err, BB_ERROR_INVALID,
				    "its node takes no body of this size");
	announce_body(m);
	return o->send(o->data, t->host, m, err);
}

static void send_remote(struct bb_attempts *t, struct bb_session *s)
{
	struct bb_entry *e = t->entry;
	struct bb_message m;
	struct bb_error err;

	t->receiver_incarnation = s->incarnation;
	t->not_after_us = bb_session_not_after(s, t->call->deadline_us);
	fill_execute(t, &m);
	if (!send_execute(t, s, &m, &err)) {
		count_placed(t);
		return;
	}
	g_hash_table_remove(e->attempts, &t->id.sequence);
	t->state = ATTEMPT_NONE;
	/* The message is over a limit, which says nothing of the path. */
	if (err.code == BB_ERROR_INVALID) {
		bb_log(BB_LOG_TRAFFIC, G_LOG_LEVEL_INFO, t->call->id,
		       "cannot pass the request on: %s", err.message);
		bb_attempts_fail_current(t, BB_VERDICT_NOT_RUN,
					 BB_REASON_PEER_LIMIT);
		return;
	}
	s->established = false;
	fail_unanswered(t, BB_VERDICT_NOT_RUN);
}

/*
 * No request is sent on a path that may have been cut since the last message
 * from the host: a non-idempotent request that is lost cannot be retried, and
 * an idempotent one costs a retry.
 */
static bool session_is_fresh(const struct bb_entry *e,
			     const struct bb_session *s, int64_t now_us)
{
	int64_t check_us = e->o.path_check_us;

	if (check_us && now_us - s->last_heard_us >= check_us)
		return false;
	return s->established && now_us - s->welcome_us < SESSION_MAX_AGE_US;
}

/* Load of the backend server of the current attempt, if it is known well enough
 * to decide whether the attempt is sent. */
static bool current_load(const struct bb_attempts *t, int64_t now_us,
			 struct bb_load *load)
{
	const struct bb_entry *e = t->entry;
	const struct bb_backend *row =
		&e->snapshot->config->backends[t->backend];
	const char *name = row->name;
	struct bb_load seen;

	if (!t->local)
		return bb_backend_view_load(e->view, name, REPORT_DECIDES_US,
					    now_us, load);
	if (!e->o.adjacent || !bb_adjacent_load(e->o.adjacent, name, load))
		return false;
	seen = bb_backend_view_seen(load, row->slots);
	bb_balance_report(call_balance(t), t->path, &seen, now_us);
	return true;
}

/*
 * Whether the current attempt, which is not sent yet, would be refused by what
 * its adjacent node has reported since it was chosen. If so, it is ended.
 */
static bool withhold_attempt(struct bb_attempts *t)
{
	const struct bb_config *c = t->entry->snapshot->config;
	struct bb_attempt_limits limits = attempt_limits(t);
	int64_t now_us = bb_clock_now_us();
	enum bb_reason reason;
	struct bb_load load;

	if (!limits.use_reports || t->backend == BB_NO_ROW ||
	    !current_load(t, now_us, &load))
		return false;
	reason = bb_attempt_withhold(&t->history, &limits, &load,
				     c->backends[t->backend].slots, now_us);
	if (reason == BB_REASON_NONE)
		return false;
	bb_metrics_add(BB_METRIC_ATTEMPTS_WITHHELD, 1);
	bb_log_event(BB_LOG_TRAFFIC, G_LOG_LEVEL_DEBUG, t->call->id,
		     "attempt_withheld",
		     "backend=%s reason=%s avoid_ms=%" G_GINT64_FORMAT
		     " in_flight=%u queued=%u slots=%u",
		     c->backends[t->backend].name, bb_reason_string[reason],
		     load.avoid_for_us / BB_US_PER_MS, load.in_flight,
		     load.queued, load.slots);
	t->last_reason = reason;
	release_path(t);
	return true;
}

static gboolean on_timer(gpointer data);

void bb_attempts_set_timer(struct bb_attempts *t, int64_t delay_us)
{
	bb_loop_remove(&t->timer);
	t->timer =
		bb_loop_add_timeout(t->entry->o.context, delay_us, on_timer, t);
}

/*
 * An attempt of an idempotent request leaves time for another one while one may
 * follow; that of a non-idempotent request may use all the time left.
 */
static int64_t attempt_time_us(const struct bb_attempts *t, int64_t now_us)
{
	int64_t left_us = t->call->deadline_us - now_us;

	if (t->state == ATTEMPT_WAITS_FOR_SESSION)
		return MIN(left_us, HELLO_TIMEOUT_US);
	if (t->body_left && !t->body_asked)
		left_us = MIN(left_us, BODY_ASK_TIMEOUT_US);
	if (bb_call_route(t->call)->idempotent &&
	    bb_attempt_count_without_redirects(&t->history) <
		    BB_RETRY_ATTEMPTS_MAX)
		return left_us * t->entry->o.attempt_percent / 100;
	return left_us;
}

static gboolean on_hello_retry(gpointer data);

void bb_entry_send_hello(struct bb_entry *e, uint32_t host,
			 struct bb_session *s, int64_t now_us)
{
	struct bb_message m;
	struct bb_error err;

	if (s->hello_us && now_us - s->hello_us < HELLO_TIMEOUT_US)
		return;
	bb_session_hello(s, e->o.incarnation, e->snapshot->config->version,
			 now_us, &m);
	if (!e->o.send(e->o.data, host, &m, &err))
		return;
	s->hello_us = 0;
	if (!e->hello_retry_timer)
		e->hello_retry_timer = bb_loop_add_timeout(
			e->o.context, HELLO_RETRY_US, on_hello_retry, e);
}

static gboolean on_hello_retry(gpointer data)
{
	struct bb_entry *e = data;
	int64_t now_us = bb_clock_now_us();
	GHashTableIter i;
	gpointer key;

	bb_loop_remove(&e->hello_retry_timer);
	g_hash_table_iter_init(&i, e->calls);
	while (g_hash_table_iter_next(&i, &key, NULL)) {
		struct bb_attempts *t = key;
		struct bb_session *s = attempt_session(t);

		if (s && t->state == ATTEMPT_WAITS_FOR_SESSION)
			bb_entry_send_hello(e, t->host, s, now_us);
	}
	return G_SOURCE_REMOVE;
}

static void send_attempt(struct bb_attempts *t)
{
	struct bb_entry *e = t->entry;
	struct bb_session *s = attempt_session(t);
	int64_t now_us = bb_clock_now_us();

	t->sent_us = now_us;
	if (!t->local && (!s || !session_is_fresh(e, s, now_us))) {
		t->state = ATTEMPT_WAITS_FOR_SESSION;
		bb_attempts_set_timer(t, attempt_time_us(t, now_us));
		if (s)
			bb_entry_send_hello(e, t->host, s, now_us);
		return;
	}
	if (s && now_us - s->welcome_us >= SESSION_RENEW_US)
		bb_entry_send_hello(e, t->host, s, now_us);
	t->state = ATTEMPT_SENT;
	t->body_asked = false;
	t->body_left =
		s && t->call->body->len > BB_BODY_MAX ? t->call->body->len : 0;
	bb_attempts_set_timer(t, attempt_time_us(t, now_us));
	g_hash_table_insert(e->attempts, &t->id.sequence, t);
	if (s)
		send_remote(t, s);
	else
		send_local(t);
}

static void send_cancel(struct bb_attempts *t)
{
	struct bb_entry *e = t->entry;
	struct bb_message m = { .type = BB_MESSAGE_CANCEL };
	struct bb_reply_address to = { .local = true };
	struct bb_error err;

	t->state = ATTEMPT_CANCELLING;
	m.cancel.id = t->id;
	m.cancel.receiver_incarnation = t->receiver_incarnation;
	m.cancel.not_after_us = t->not_after_us;
	bb_metrics_add(BB_METRIC_CANCELS, 1);
	if (t->local)
		bb_adjacent_cancel(e->o.adjacent, &to, &m.cancel);
	else
		e->o.send(e->o.data, t->host, &m, &err);
}

/* The time of the current step is over. */
static gboolean on_timer(gpointer data)
{
	struct bb_attempts *t = data;

	bb_loop_remove(&t->timer);
	switch (t->state) {
	case ATTEMPT_NONE:
		break;
	case ATTEMPT_WAITS_FOR_TOKEN:
		bb_attempts_admit_from_reserve(t);
		break;
	case ATTEMPT_WAITS_FOR_RECORD:
		bb_attempts_refuse_unrecorded(t);
		break;
	case ATTEMPT_WAITS_FOR_SESSION:
		t->state = ATTEMPT_NONE;
		fail_unanswered(t, BB_VERDICT_NOT_RUN);
		break;
	case ATTEMPT_SENT:
		bb_attempts_set_timer(t, CANCEL_TIMEOUT_US);
		/* For a local request, this call answers it and frees @t. */
		send_cancel(t);
		break;
	case ATTEMPT_CANCELLING:
		g_hash_table_remove(t->entry->attempts, &t->id.sequence);
		t->state = ATTEMPT_NONE;
		fail_unanswered(t, unanswered_verdict(t));
		break;
	}
	return G_SOURCE_REMOVE;
}

void bb_attempts_start_next(struct bb_attempts *t)
{
	struct bb_entry *e = t->entry;
	const char *name;

	t->state = ATTEMPT_NONE;
	do {
		if (choose_backend(t))
			continue;
		bb_attempts_refuse(t, t->history.verdict,
				   t->history.nr ? t->last_reason :
						   BB_REASON_NO_BACKEND);
		return;
	} while (withhold_attempt(t));
	name = e->snapshot->config->backends[t->backend].name;
	if (t->spans.attempt)
		bb_entry_spans_move_attempt(&t->spans, name);
	else
		bb_entry_spans_begin_attempt(&t->spans, t->call, name);
	t->call->attempts_nr = t->history.nr - t->history.withheld;
	g_free(t->call->backend);
	t->call->backend = g_strdup(name);
	t->backend_started_ms =
		e->snapshot->config->backends[t->backend].started_ms;
	t->id.incarnation = e->o.incarnation;
	t->id.sequence = ++e->last_sequence;
	send_attempt(t);
}

static gboolean on_hangup(gint fd, GIOCondition condition, gpointer data)
{
	struct bb_attempts *t = data;

	(void)fd;
	(void)condition;
	bb_loop_remove(&t->hangup_watch);
	t->caller_gone = true;
	bb_log(BB_LOG_TRAFFIC, G_LOG_LEVEL_DEBUG, t->call->id,
	       "caller closed the connection; no further attempt follows");
	switch (t->state) {
	case ATTEMPT_SENT:
		/*
		 * A request with a recorded idempotency key continues, so
		 * that its outcome can be stored.
		 */
		if (t->key_recorded)
			break;
		bb_attempts_set_timer(t, CANCEL_TIMEOUT_US);
		send_cancel(t);
		break;
	case ATTEMPT_WAITS_FOR_TOKEN:
	case ATTEMPT_WAITS_FOR_SESSION:
		bb_attempts_refuse(t, t->history.verdict, BB_REASON_CANCELLED);
		break;
	case ATTEMPT_WAITS_FOR_RECORD:
		bb_attempts_refuse_unrecorded(t);
		break;
	case ATTEMPT_NONE:
	case ATTEMPT_CANCELLING:
		break;
	}
	return G_SOURCE_REMOVE;
}

/*
 * libmicrohttpd neither watches a suspended connection nor closes its socket,
 * so the descriptor stays valid here.
 */
static void watch_hangup(struct bb_attempts *t)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		t->call->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	if (!info)
		return;
	t->hangup_watch = bb_loop_add_fd(
		t->entry->o.context, info->connect_fd,
		(GIOCondition)(POLLRDHUP | G_IO_HUP | G_IO_ERR), on_hangup, t);
}

void bb_entry_submit(struct bb_entry *e, struct bb_call *c)
{
	struct bb_attempts *t = g_new0(struct bb_attempts, 1);
	uint32_t service;

	t->entry = e;
	t->call = c;
	c->attempts = t;
	c->state = BB_CALL_EXECUTING;
	g_hash_table_add(e->calls, t);
	bb_entry_spans_begin(&t->spans, e->o.tracer, c);
	if (c->connection)
		watch_hangup(t);
	service = call_service(t);
	if (service != BB_NO_ROW)
		bb_retry_budget_deposit(&e->retry_budgets[service]);
	bb_attempts_admit(t, false);
}

static void report_load(struct bb_attempts *t,
			const struct bb_message_result *r)
{
	const struct bb_config *c = t->entry->snapshot->config;
	struct bb_balance *b = call_balance(t);
	struct bb_load seen = r->load;

	t->last_load = r->load;
	/* A refusal for a reason other than load may carry no load. */
	if (!b || !t->path || !r->load.slots)
		return;
	if (c->policies.report_bytes_per_s && t->backend != BB_NO_ROW)
		seen = bb_backend_view_seen(&r->load,
					    c->backends[t->backend].slots);
	bb_balance_report(b, t->path, &seen, bb_clock_now_us());
	if (!t->local && t->call->backend)
		bb_backend_view_result(t->entry->view, t->call->backend,
				       &r->load, t->sent_us, bb_clock_now_us());
}

/* False if the backend server has started again under its name, or has left the
 * configuration, since the current attempt was sent. */
static bool has_same_start(const struct bb_attempts *t)
{
	const struct bb_config *c = t->entry->snapshot->config;

	return t->backend != BB_NO_ROW &&
	       c->backends[t->backend].started_ms == t->backend_started_ms;
}

/* The notice in an answer that is passed on. The adjacent side has taken that of
 * a local one. */
static void take_notice(struct bb_attempts *t,
			const struct bb_message_result *m)
{
	const struct bb_entry *e = t->entry;
	int64_t now_us = bb_clock_now_us();
	struct bb_notice_record *r;
	struct bb_notice n;

	if (t->local || !e->o.notices || !e->o.dialect ||
	    !e->o.dialect->decode_notice)
		return;
	r = bb_notices_get(e->o.notices, t->call->backend,
			   t->backend_started_ms, now_us);
	n = e->o.dialect->decode_notice(m->headers, m->headers_nr);
	bb_notices_take(r, &n, t->sent_us, now_us);
	if (r->leaving && t->path && has_same_start(t))
		bb_path_set_leaving(t->path, true);
}

void bb_entry_result(struct bb_entry *e, const struct bb_message_result *r)
{
	struct bb_attempts *t = NULL;
	struct bb_attempt_outcome outcome = { r->verdict, r->reason, r->status,
					      INT64_MAX };

	if (r->id.incarnation == e->o.incarnation)
		t = g_hash_table_lookup(e->attempts, &r->id.sequence);
	if (t && t->id.sequence != r->id.sequence)
		t = NULL;
	if (!t || r->receiver_incarnation != t->receiver_incarnation) {
		/*
		 * Another incarnation of the receiver does not know what the
		 * addressed one did, so the request may have run.
		 */
		if (t && r->reason == BB_REASON_WRONG_INCARNATION) {
			struct bb_session *s = attempt_session(t);

			if (s)
				s->established = false;
			g_hash_table_remove(e->attempts, &t->id.sequence);
			t->state = ATTEMPT_NONE;
			bb_attempts_fail_current(t, unanswered_verdict(t),
						 BB_REASON_WRONG_INCARNATION);
			return;
		}
		bb_metrics_add(BB_METRIC_LATE_RESULTS, 1);
		return;
	}
	g_hash_table_remove(e->attempts, &t->id.sequence);
	t->state = ATTEMPT_NONE;
	outcome.took_us = bb_clock_now_us() - t->sent_us;
	if (r->verdict == BB_VERDICT_NOT_RUN &&
	    (r->reason == BB_REASON_EJECTED || r->reason == BB_REASON_LEAVING))
		bb_metrics_add(BB_METRIC_REDIRECTS, 1);
	bb_metrics_add(t->local ? BB_METRIC_ANSWERS_LOCAL :
				  BB_METRIC_ANSWERS_REMOTE,
		       1);
	if (!t->local)
		bb_entry_record_path_answer(e, t->host, false,
					    bb_clock_now_us());
	report_load(t, r);
	if (is_in_other_zone(t))
		bb_metrics_add(BB_METRIC_ZONE_BYTES,
			       r->body.size + headers_bytes(r->headers,
							    r->headers_nr));
	if (r->reason != BB_REASON_NONE || r->verdict != BB_VERDICT_RAN) {
		bb_attempts_fail_current(t, r->verdict, r->reason);
		return;
	}
	take_notice(t, r);
	learn_cost(t, r);
	bb_call_answer(t->call, r->status, r->headers, r->headers_nr, &r->body);
	if (!decide_retry(t, &outcome)) {
		if (r->status < 500)
			note_served(t);
		bb_attempts_finish(t);
		return;
	}
	t->has_answer = true;
	release_path(t);
	bb_entry_spans_end_attempt(&t->spans, r->verdict, r->reason, r->status);
	bb_attempts_start_next(t);
}

/* Return: false if it is not the next part of the body of attempt @t. */
static bool is_next_part(const struct bb_attempts *t, uint32_t host,
			 const struct bb_message_body_read *x)
{
	return !t->local && t->host == host &&
	       t->receiver_incarnation == x->receiver_incarnation && x->size &&
	       x->size <= t->body_left &&
	       x->offset == t->call->body->len - t->body_left;
}

void bb_entry_body_read(struct bb_entry *e, uint32_t host,
			const struct bb_message_body_read *x)
{
	struct bb_message m = { .type = BB_MESSAGE_BODY_PART };
	struct bb_attempts *t = NULL;
	int64_t now_us = bb_clock_now_us();
	struct bb_error err;

	if (x->id.incarnation == e->o.incarnation)
		t = g_hash_table_lookup(e->attempts, &x->id.sequence);
	if (!t || t->id.sequence != x->id.sequence || !is_next_part(t, host, x))
		return;
	if (t->state != ATTEMPT_SENT) {
		t->body_asked = true;
		return;
	}
	bb_entry_record_path_answer(e, host, false, now_us);
	m.body_part = (struct bb_message_body_part){
		.id = x->id,
		.receiver_incarnation = x->receiver_incarnation,
		.offset = x->offset,
		.bytes = { (const char *)t->call->body->data + x->offset,
			   x->size },
	};
	if (e->o.send(e->o.data, host, &m, &err)) {
		attempt_session(t)->established = false;
		g_hash_table_remove(e->attempts, &t->id.sequence);
		t->state = ATTEMPT_NONE;
		fail_unanswered(t, BB_VERDICT_NOT_RUN);
		return;
	}
	t->body_left -= x->size;
	if (t->body_asked)
		return;
	t->body_asked = true;
	bb_attempts_set_timer(t, attempt_time_us(t, now_us));
}

static bool is_connection_lost(const struct bb_attempts *t, int64_t now_us)
{
	const struct bb_entry *e = t->entry;

	if (t->state != ATTEMPT_SENT || t->local || t->host == BB_NO_ROW ||
	    !bb_call_route(t->call)->idempotent ||
	    now_us - t->sent_us < LOST_CHECK_MIN_AGE_US)
		return false;
	return !e->o.is_connected(e->o.data, t->host) ||
	       attempt_session(t)->silent;
}

void bb_attempts_retry_lost(struct bb_entry *e, int64_t now_us)
{
	GList *all = g_hash_table_get_keys(e->calls);

	for (GList *l = all; l; l = l->next) {
		struct bb_attempts *t = l->data;

		/* An earlier iteration may have ended the call. */
		if (!g_hash_table_contains(e->calls, t) ||
		    !is_connection_lost(t, now_us))
			continue;
		bb_loop_remove(&t->timer);
		g_hash_table_remove(e->attempts, &t->id.sequence);
		t->state = ATTEMPT_NONE;
		fail_unanswered(t, unanswered_verdict(t));
	}
	g_list_free(all);
}

void bb_entry_welcome(struct bb_entry *e, uint32_t host)
{
	GList *all = g_hash_table_get_keys(e->calls);

	bb_entry_record_path_answer(e, host, true, bb_clock_now_us());
	for (GList *l = all; l; l = l->next) {
		struct bb_attempts *t = l->data;

		/* An earlier iteration may have ended the call. */
		if (!g_hash_table_contains(e->calls, t) ||
		    t->state != ATTEMPT_WAITS_FOR_SESSION || t->host != host)
			continue;
		if (withhold_attempt(t))
			bb_attempts_start_next(t);
		else
			send_attempt(t);
	}
	g_list_free(all);
}

struct bb_entry *bb_entry_new(const struct bb_entry_options *o)
{
	struct bb_entry *e = g_new0(struct bb_entry, 1);

	e->o = *o;
	e->reserve = bb_reserve_new();
	e->view = bb_backend_view_new();
	e->service_returns =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->account_returns =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->random = g_rand_new_with_seed((guint32)o->incarnation);
	e->probe_sent_us = g_array_new(FALSE, TRUE, sizeof(int64_t));
	g_queue_init(&e->token_waiters);
	e->calls = g_hash_table_new(NULL, NULL);
	e->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	return e;
}

unsigned int bb_entry_calls(const struct bb_entry *e)
{
	return g_hash_table_size(e->calls);
}

static void abort_call(struct bb_attempts *t)
{
	if ((t->state == ATTEMPT_SENT || t->state == ATTEMPT_CANCELLING) &&
	    t->history.verdict == BB_VERDICT_NOT_RUN)
		t->history.verdict = unanswered_verdict(t);
	bb_attempts_refuse(t, t->history.verdict, BB_REASON_STOPPING);
}

void bb_entry_abort(struct bb_entry *e)
{
	GList *all = g_hash_table_get_keys(e->calls);

	for (GList *l = all; l; l = l->next) {
		struct bb_attempts *t = l->data;

		if (!g_hash_table_contains(e->calls, t))
			continue;
		t->caller_gone = true;
		if (t->local && t->state == ATTEMPT_SENT)
			send_cancel(t);
		else
			abort_call(t);
	}
	g_list_free(all);
}

void bb_entry_delete(struct bb_entry *e)
{
	if (!e)
		return;
	bb_entry_abort(e);
	g_hash_table_destroy(e->calls);
	g_hash_table_destroy(e->attempts);
	bb_loop_remove(&e->hello_retry_timer);
	bb_entry_free_balances(e->balances, e->balances_nr);
	g_free(e->retry_budgets);
	bb_cost_delete(e->cost);
	bb_reserve_delete(e->reserve);
	bb_backend_view_delete(e->view);
	g_hash_table_destroy(e->service_returns);
	g_hash_table_destroy(e->account_returns);
	g_rand_free(e->random);
	if (e->leaving_hosts)
		g_hash_table_unref(e->leaving_hosts);
	bb_paths_delete(e->paths);
	g_array_unref(e->probe_sent_us);
	bb_snapshot_put(e->snapshot);
	g_free(e);
}
