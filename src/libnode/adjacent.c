#include "libnode/adjacent_private.h"

#include <string.h>
#include <xxhash.h>

#include "baobabward/admission.h"
#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "libnode/executor.h"
#include "libnode/headers.h"
#include "libnode/request_spans.h"
#include "libnode/loop.h"
#include "libnode/request_id_set.h"

/* Longest time that an EXECUTE may ask for. */
#define BUDGET_MAX_US (300 * BB_US_PER_S)
/* Interval of forgetting ids and refusing queued work that is too late. */
#define EXPIRE_INTERVAL_US (50 * BB_US_PER_MS)

/*
 * Entry nodes that do not know yet that a backend server leaves ask for it
 * again after this time.
 */
#define LEAVING_HINT_US (2 * BB_US_PER_S)

struct bb_job {
	struct bb_adjacent *adjacent;
	struct bb_reply_to to;
	struct bb_received_message *received;
	struct bb_message_execute x;
	struct backend_entry *backend;
	struct bb_execution *execution;
	struct bb_queue_entry entry;
	struct bb_adjacent_spans hop;
	enum bb_reason refused;
	int64_t started_us;
};

static void free_backend(void *data)
{
	struct backend_entry *b = data;

	g_free(b->name);
	g_free(b->url);
	bb_loop_remove(&b->wake);
	bb_queue_delete(b->queue);
	g_free(b);
}

static struct bb_load backend_load(const struct backend_entry *b)
{
	struct bb_load load = bb_queue_load(b->queue);
	int64_t left_us = b->avoid_until_us - bb_clock_now_us();

	load.avoid_for_us = MAX(left_us, bb_breaker_open_us(&b->breaker,
							    bb_clock_now_us()));
	load.avoid_for_us = MAX(0, load.avoid_for_us);
	if (bb_adjacent_is_leaving(b))
		load.avoid_for_us = MAX(load.avoid_for_us, LEAVING_HINT_US);
	return load;
}

static void reply(struct bb_adjacent *a, const struct bb_reply_to *to,
		  const struct bb_request_id *id, const struct backend_entry *b,
		  struct bb_message_result *r)
{
	struct bb_message m = { .type = BB_MESSAGE_RESULT };

	r->id = *id;
	r->receiver_incarnation = a->o.incarnation;
	if (b)
		r->load = backend_load(b);
	m.result = *r;
	a->o.reply(a->o.data, to, &m);
}

static void refuse(struct bb_adjacent *a, const struct bb_reply_to *to,
		   const struct bb_request_id *id,
		   const struct backend_entry *b, enum bb_verdict verdict,
		   enum bb_reason reason)
{
	struct bb_message_result r = {
		.verdict = verdict,
		.reason = reason,
		.status = bb_reason_status(reason),
	};

	reply(a, to, id, b, &r);
}

static void free_job(struct bb_job *job)
{
	g_hash_table_remove(job->adjacent->jobs, &job->x.id);
	bb_received_message_delete(job->received);
	g_free(job);
}

/* Frees the job before the reply, since the reply may submit new work. */
static void refuse_job(struct bb_job *job, enum bb_verdict verdict,
		       enum bb_reason reason)
{
	struct bb_adjacent *a = job->adjacent;
	struct bb_reply_to to = job->to;
	struct bb_request_id id = job->x.id;
	struct backend_entry *b = job->backend;

	bb_adjacent_spans_end(&job->hop, verdict, reason, 0);
	free_job(job);
	refuse(a, &to, &id, b, verdict, reason);
}

static struct bb_job *job_of(struct bb_queue_entry *e)
{
	return (struct bb_job *)(void *)((char *)e -
					 offsetof(struct bb_job, entry));
}

/*
 * The queue hands entries back from inside its own functions. Replies may
 * submit new work to the same queue, so they wait until it has returned.
 */
void bb_adjacent_refused(void *data, struct bb_queue_entry *e,
			 enum bb_reason reason)
{
	struct bb_adjacent *a = data;
	struct bb_job *job = job_of(e);

	job->refused = reason;
	g_queue_push_tail(&a->refused, job);
}

void bb_adjacent_answer_refused(struct bb_adjacent *a)
{
	struct bb_job *job;

	while ((job = g_queue_pop_head(&a->refused)))
		refuse_job(job, BB_VERDICT_NOT_RUN, job->refused);
}

static void set_result(struct bb_message_result *m,
		       const struct bb_execution_result *r)
{
	static const struct {
		enum bb_verdict verdict;
		enum bb_reason reason;
	} ends[] = {
		[BB_EXECUTION_DONE] = { BB_VERDICT_RAN, BB_REASON_NONE },
		[BB_EXECUTION_NOT_SENT] = { BB_VERDICT_NOT_RUN,
					    BB_REASON_BACKEND_CONNECT },
		[BB_EXECUTION_TIMEOUT] = { BB_VERDICT_MAY_HAVE_RUN,
					   BB_REASON_DEADLINE },
		[BB_EXECUTION_BROKEN] = { BB_VERDICT_MAY_HAVE_RUN,
					  BB_REASON_BACKEND_FAILED },
		[BB_EXECUTION_TRUNCATED] = { BB_VERDICT_RAN,
					     BB_REASON_BACKEND_TRUNCATED },
		[BB_EXECUTION_TOO_LARGE] = { BB_VERDICT_RAN,
					     BB_REASON_BACKEND_FAILED },
		[BB_EXECUTION_REFUSED] = { BB_VERDICT_NOT_RUN,
					   BB_REASON_BACKEND_REFUSED },
		[BB_EXECUTION_MISDIRECTED] = { BB_VERDICT_NOT_RUN,
					       BB_REASON_MISDIRECTED },
		[BB_EXECUTION_FOREIGN] = { BB_VERDICT_MAY_HAVE_RUN,
					   BB_REASON_BACKEND_FAILED },
	};

	m->verdict = ends[r->end].verdict;
	m->reason = ends[r->end].reason;
	if (r->end != BB_EXECUTION_DONE) {
		m->status = bb_reason_status(m->reason);
		return;
	}
	m->status = r->status;
	m->headers = r->headers;
	m->headers_nr = r->headers_nr;
	m->body = r->body;
}

/*
 * libcurl keeps the connections; this follows what it did, so that the queue
 * can hold the bound on them.
 */
static void note_connection(struct bb_job *job, bool kept, bool new_connection)
{
	struct backend_entry *b = job->backend;

	if (new_connection && !job->entry.opens_connection) {
		/* The idle connection that was expected had been closed. */
		bb_queue_connection_closed(b->queue);
		bb_queue_connection_opened(b->queue, bb_clock_now_us());
	}
	if (kept && job->x.idempotent)
		b->idle_connections++;
	else
		bb_queue_connection_closed(b->queue);
}

static void note_closed_idle(struct backend_entry *b, unsigned int nr)
{
	if (nr)
		bb_log_info(BB_LOG_BACKEND,
			    "closed %u idle connections to %s that had gone "
			    "silent",
			    nr, b->name);
	for (; nr && b->idle_connections; nr--) {
		b->idle_connections--;
		bb_queue_connection_closed(b->queue);
	}
}

static enum bb_outcome_kind outcome_kind(const struct bb_execution_result *r)
{
	switch (r->end) {
	case BB_EXECUTION_NOT_SENT:
		return BB_OUTCOME_CONNECT_FAILURE;
	case BB_EXECUTION_TIMEOUT:
		/* A new connection decides whether the server is to blame. */
		return r->new_connection ? BB_OUTCOME_TIMEOUT :
					   BB_OUTCOME_SILENT_CONNECTION;
	case BB_EXECUTION_BROKEN:
	case BB_EXECUTION_TRUNCATED:
	case BB_EXECUTION_FOREIGN:
		return BB_OUTCOME_TRUNCATED;
	case BB_EXECUTION_TOO_LARGE:
		return BB_OUTCOME_OK;
	case BB_EXECUTION_REFUSED:
		return BB_OUTCOME_SHED;
	case BB_EXECUTION_MISDIRECTED:
		return BB_OUTCOME_CLIENT_ERROR;
	default:
		break;
	}
	if (r->status == 503)
		return BB_OUTCOME_SHED;
	if (r->status >= 500)
		return BB_OUTCOME_ERROR;
	return r->status >= 400 ? BB_OUTCOME_CLIENT_ERROR : BB_OUTCOME_OK;
}

static void observe(const struct bb_job *job, enum bb_outcome_kind kind,
		    int64_t latency_us, bool fresh, int64_t opened_us)
{
	const struct bb_bytes *account = &job->x.account;
	const struct bb_bytes *route = &job->x.route;
	struct bb_observation *o = g_new0(struct bb_observation, 1);

	o->backend = g_strdup(job->backend->name);
	o->outcome.class_id = (uint32_t)(XXH3_64bits(route->data, route->size) %
					 BB_HEALTH_ROUTE_CLASSES);
	/* One bit short, since all bits set means that there is none. */
	o->outcome.account =
		(uint32_t)(XXH3_64bits(account->data, account->size) >> 33);
	o->outcome.kind = kind;
	o->outcome.latency_us = latency_us;
	o->outcome.new_connection = fresh;
	if (job->x.idempotent)
		o->outcome.opened_us = opened_us;
	bb_control_observe(job->adjacent->o.control, o);
}

static void log_breaker(const struct backend_entry *e, uint32_t failures,
			int64_t now_us)
{
	const struct bb_breaker *b = &e->breaker;

	if (e->adjacent->o.breaker)
		bb_log_event(BB_LOG_HEALTH, G_LOG_LEVEL_INFO, NULL,
			     b->failures ? "breaker_opened" : "breaker_closed",
			     "backend=%s failures=%u open_ms=%" G_GINT64_FORMAT,
			     e->name, failures,
			     bb_breaker_open_us(b, now_us) / BB_US_PER_MS);
}

/* What an outcome says of the backend server, apart from the caller. */
static void note_breaker(struct bb_job *job, enum bb_outcome_kind kind,
			 int64_t now_us)
{
	struct bb_breaker *b = &job->backend->breaker;
	uint32_t failures = b->failures;

	switch (kind) {
	case BB_OUTCOME_OK:
	case BB_OUTCOME_CLIENT_ERROR:
		job->backend->answered_us = now_us;
		bb_breaker_succeeded(b, job->started_us);
		break;
	case BB_OUTCOME_ERROR:
	case BB_OUTCOME_TIMEOUT:
	case BB_OUTCOME_CONNECT_FAILURE:
	case BB_OUTCOME_TRUNCATED:
		bb_breaker_failed(b, job->started_us, now_us);
		break;
	default:
		break;
	}
	if (!failures != !b->failures)
		log_breaker(job->backend, MAX(failures, b->failures), now_us);
}

static const struct bb_bytes *caller_request_id(const struct bb_job *job)
{
	const struct bb_dialect *d = job->adjacent->o.dialect;

	for (size_t i = 0; d && i < job->x.headers_nr; i++)
		if (bb_header_named(&job->x.headers[i].name, d->request_id))
			return &job->x.headers[i].value;
	return NULL;
}

/* What a backend server did with a request, by the caller's name for it. */
static void log_execution(const struct bb_job *job,
			  const struct bb_execution_result *r)
{
	const struct bb_bytes *id = caller_request_id(job);
	struct bb_load load = bb_queue_load(job->backend->queue);
	char name[64];

	if (id)
		g_snprintf(name, sizeof(name), "%.*s", (int)id->size, id->data);
	else
		g_snprintf(name, sizeof(name),
			   "%016" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT,
			   job->x.id.incarnation, job->x.id.sequence);
	bb_log_event(BB_LOG_BACKEND, G_LOG_LEVEL_INFO, name, "executed",
		     "backend=%s end=%s status=%u queued_ms=%" G_GINT64_FORMAT
		     " took_ms=%" G_GINT64_FORMAT
		     " new_connection=%d running=%u waiting=%u slots=%u",
		     job->backend->name, bb_execution_end_string[r->end],
		     r->status,
		     (job->started_us - job->entry.pushed_us) / BB_US_PER_MS,
		     r->latency_us / BB_US_PER_MS, r->new_connection,
		     load.in_flight, load.queued, load.slots);
	if (r->end != BB_EXECUTION_DONE)
		bb_log(BB_LOG_BACKEND, G_LOG_LEVEL_INFO, name, "%s: %s",
		       job->backend->name, r->detail);
}

static void on_executed(void *data, const struct bb_execution_result *r)
{
	struct bb_job *job = data;
	struct bb_adjacent *a = job->adjacent;
	struct backend_entry *b = job->backend;
	struct bb_message_result m = { 0 };
	struct bb_reply_to to = job->to;
	struct bb_request_id id = job->x.id;

	log_execution(job, r);
	bb_metrics_observe(BB_HISTOGRAM_EXECUTION, r->latency_us);
	bb_metrics_observe(BB_HISTOGRAM_QUEUE,
			   job->started_us - job->entry.pushed_us);
	note_connection(job, r->end == BB_EXECUTION_DONE, r->new_connection);
	note_closed_idle(b, r->closed_idle);
	note_breaker(job, outcome_kind(r), bb_clock_now_us());
	observe(job, outcome_kind(r), r->latency_us, r->new_connection,
		r->opened_us);
	/* Errors that come at once say nothing of how long requests run. */
	bb_queue_finish(b->queue, &job->entry,
			r->end == BB_EXECUTION_DONE && r->status < 500,
			bb_clock_now_us());
	set_result(&m, r);
	bb_adjacent_spans_end(&job->hop, m.verdict, m.reason, r->status);
	free_job(job);
	reply(a, &to, &id, b, &m);
	bb_adjacent_start_waiting(b);
}

static const struct bb_route *find_route(const struct bb_adjacent *a,
					 const struct bb_bytes *name)
{
	const struct bb_config *c = a->snapshot->config;
	uint32_t route = bb_config_find_route(c, name->data, name->size);

	return route == BB_NO_ROW ? NULL : &c->routes[route];
}

static void start_job(struct bb_job *job, int64_t now_us)
{
	struct bb_adjacent *a = job->adjacent;
	struct backend_entry *b = job->backend;
	const struct bb_route *route = find_route(a, &job->x.route);
	struct bb_execution_request r = {
		.url = b->url,
		.target = job->x.target,
		.method = job->x.method,
		.headers = job->x.headers,
		.headers_nr = job->x.headers_nr,
		.body = job->x.body,
		.traceparent = bb_adjacent_spans_begin_exchange(
			&job->hop, &job->x, b->name),
		.timeout_us = job->x.not_after_us - now_us,
		.max_body = route ? route->max_body_bytes : BB_BODY_MAX,
		.at_most_once = !job->x.idempotent,
		.dialect = a->o.dialect,
		.backend_id = b->name,
	};
	struct bb_error err;

	job->execution =
		bb_executor_start(a->executor, &r, on_executed, job, &err);
	if (!job->execution) {
		bb_log_warning(BB_LOG_BACKEND, "cannot start request: %s",
			       err.message);
		bb_queue_finish(b->queue, &job->entry, false, now_us);
		bb_queue_connection_closed(b->queue);
		refuse_job(job, BB_VERDICT_NOT_RUN, BB_REASON_INTERNAL);
		return;
	}
	if ((!job->entry.opens_connection || job->entry.closes_idle) &&
	    b->idle_connections)
		b->idle_connections--;
	job->started_us = now_us;
	bb_metrics_add(BB_METRIC_EXECUTED, 1);
}

static gboolean on_wake(gpointer data)
{
	struct backend_entry *b = data;

	bb_loop_remove(&b->wake);
	bb_adjacent_start_waiting(b);
	return G_SOURCE_REMOVE;
}

void bb_adjacent_start_waiting(struct backend_entry *b)
{
	struct bb_adjacent *a = b->adjacent;
	int64_t now_us = bb_clock_now_us();
	struct bb_queue_entry *e;
	int64_t wake_us;

	bb_queue_expire(b->queue, now_us);
	while ((e = bb_queue_pop(b->queue, b->idle_connections, now_us,
				 &wake_us)))
		start_job(job_of(e), now_us);
	if (wake_us != INT64_MAX && !b->wake)
		b->wake = bb_loop_add_timeout(a->o.context, wake_us - now_us,
					      on_wake, b);
	bb_adjacent_answer_refused(a);
}

static enum bb_reason check(struct bb_adjacent *a,
			    const struct bb_message_execute *x,
			    struct backend_entry *b, int64_t now_us)
{
	const struct bb_admission_request request = { x->idempotent,
						      x->last_resort,
						      x->may_wait };
	bool breaker = a->o.breaker && a->snapshot->config->automation;

	if (a->draining)
		return BB_REASON_STOPPING;
	if (!b || !b->configured)
		return BB_REASON_UNKNOWN_BACKEND;
	if (bb_adjacent_is_leaving(b))
		return BB_REASON_LEAVING;
	if (!b->admit)
		return BB_REASON_EJECTED;
	if (now_us >= x->not_after_us)
		return BB_REASON_DEADLINE;
	if (x->not_after_us - now_us > BUDGET_MAX_US)
		return BB_REASON_BAD_REQUEST;
	return bb_admission_check(&request, b->queue,
				  breaker ? &b->breaker : NULL, now_us);
}

static struct backend_entry *find_backend(struct bb_adjacent *a,
					  const struct bb_bytes *name)
{
	char key[BB_NAME_MAX + 1];

	if (name->size > BB_NAME_MAX)
		return NULL;
	memcpy(key, name->data, name->size);
	key[name->size] = '\0';
	return g_hash_table_lookup(a->backends, key);
}

static const struct bb_account *find_account(const struct bb_adjacent *a,
					     const struct bb_bytes *name)
{
	const struct bb_config *c = a->snapshot->config;
	uint32_t i = bb_config_find_account(c, name->data, name->size);

	return i == BB_NO_ROW ? NULL : &c->accounts[i];
}

/*
 * A request waits only as long as its answer can still come within the target
 * latency of its route; what would wait longer is refused at once.
 */
static void set_wait(const struct bb_adjacent *a, struct bb_job *job,
		     int64_t now_us)
{
	const struct bb_route *r = find_route(a, &job->x.route);
	const struct bb_account *account;

	/*
	 * Without a client account it is a call of a backend server, whose own
	 * work is lost if the call is refused.
	 */
	if (!r || !job->x.account.size)
		return;
	account = find_account(a, &job->x.account);
	/* The deadline is the end of the route's timeout, or earlier. */
	job->entry.max_wait_us = bb_admission_wait_us(&(struct bb_wait_limits){
		.left_us = job->x.not_after_us - now_us,
		.timeout_us = r->timeout_ms * BB_US_PER_MS,
		.target_us = r->target_latency_ms * BB_US_PER_MS,
		.service_us = bb_queue_mean_service_us(job->backend->queue),
		.priority = account && account->ranked ? account->priority :
							 r->priority,
	});
}

static void fill_entry(const struct bb_adjacent *a, struct bb_job *job,
		       int64_t now_us)
{
	const struct bb_bytes *name = &job->x.account;
	const struct bb_account *account = find_account(a, name);

	job->entry.account = XXH3_64bits(name->data, name->size);
	job->entry.weight = account ? account->weight : 1.0;
	job->entry.not_after_us = job->x.not_after_us;
	job->entry.idempotent = job->x.idempotent;
	job->entry.needs_new_connection = !job->x.idempotent;
	set_wait(a, job, now_us);
}

void bb_adjacent_execute(struct bb_adjacent *a, const struct bb_reply_to *to,
			 struct bb_received_message *received,
			 const struct bb_message_execute *x)
{
	struct backend_entry *b = find_backend(a, &x->backend);
	int64_t now_us = bb_clock_now_us();
	enum bb_reason reason;
	struct bb_job *job;

	/*
	 * An earlier incarnation may have received the same message, so this
	 * one cannot say that it did not run.
	 */
	if (x->receiver_incarnation != a->o.incarnation) {
		refuse(a, to, &x->id, NULL, BB_VERDICT_MAY_HAVE_RUN,
		       BB_REASON_WRONG_INCARNATION);
		bb_received_message_delete(received);
		return;
	}
	/*
	 * The first copy of the message is answered, or was cancelled. The id
	 * is remembered for a refusal too: a second copy must not run after
	 * "not run".
	 */
	if (!bb_request_id_set_add(a->seen, &x->id, x->not_after_us)) {
		bb_received_message_delete(received);
		return;
	}
	reason = check(a, x, b, now_us);
	if (reason) {
		refuse(a, to, &x->id, b, BB_VERDICT_NOT_RUN, reason);
		bb_received_message_delete(received);
		return;
	}
	job = g_new0(struct bb_job, 1);
	job->adjacent = a;
	job->to = *to;
	job->received = received;
	job->x = *x;
	job->backend = b;
	g_hash_table_insert(a->jobs, &job->x.id, job);
	fill_entry(a, job, now_us);
	bb_adjacent_spans_begin(&job->hop, a->o.tracer, &job->x);
	reason = bb_queue_push(b->queue, &job->entry, now_us);
	if (reason)
		refuse_job(job, BB_VERDICT_NOT_RUN, reason);
	bb_adjacent_start_waiting(b);
}

/* Share of the remaining time after which a cancellation is a timeout. */
#define TIMEOUT_PERCENT 40

/*
 * Entry nodes cancel when half of the time of an idempotent request, or all of
 * that of another, is over; a caller that hung up is seldom that patient.
 */
static bool waited_long(const struct bb_job *job, int64_t now_us)
{
	int64_t budget_us = job->x.not_after_us - job->started_us;

	return (now_us - job->started_us) * 100 >= budget_us * TIMEOUT_PERCENT;
}

void bb_adjacent_cancel(struct bb_adjacent *a, const struct bb_reply_to *to,
			const struct bb_message_cancel *x)
{
	struct bb_job *job = g_hash_table_lookup(a->jobs, &x->id);
	int64_t now_us = bb_clock_now_us();
	struct backend_entry *b;

	if (x->receiver_incarnation != a->o.incarnation) {
		refuse(a, to, &x->id, NULL, BB_VERDICT_MAY_HAVE_RUN,
		       BB_REASON_WRONG_INCARNATION);
		return;
	}
	if (!job) {
		/*
		 * An id that is unknown before its time is over never came;
		 * later it may have been forgotten.
		 */
		bool never =
			now_us < x->not_after_us &&
			bb_request_id_set_add(a->seen, &x->id, x->not_after_us);

		refuse(a, to, &x->id, NULL,
		       never ? BB_VERDICT_NOT_RUN : BB_VERDICT_MAY_HAVE_RUN,
		       BB_REASON_CANCELLED);
		return;
	}
	b = job->backend;
	if (bb_queue_cancel(b->queue, &job->entry)) {
		refuse_job(job, BB_VERDICT_NOT_RUN, BB_REASON_CANCELLED);
		return;
	}
	if (waited_long(job, now_us)) {
		note_breaker(job, BB_OUTCOME_TIMEOUT, now_us);
		observe(job, BB_OUTCOME_TIMEOUT, now_us - job->started_us,
			job->entry.opens_connection, 0);
		note_closed_idle(b,
				 bb_executor_cancel_timed_out(job->execution));
	} else {
		bb_executor_cancel(job->execution);
	}
	bb_queue_finish(b->queue, &job->entry, false, now_us);
	bb_queue_connection_closed(b->queue);
	refuse_job(job, BB_VERDICT_MAY_HAVE_RUN, BB_REASON_CANCELLED);
	bb_adjacent_start_waiting(b);
}

/* Most running requests that are looked at for a hanging backend server. */
#define RUNNING_MAX 64

static void check_stalled(struct backend_entry *b, int64_t now_us)
{
	int64_t ages_us[RUNNING_MAX] = { 0 };
	int64_t oldest_us = 0;
	size_t nr = 0;
	GHashTableIter i;
	gpointer value;

	if (!b->adjacent->o.breaker || b->breaker.failures)
		return;
	g_hash_table_iter_init(&i, b->adjacent->jobs);
	while (nr < RUNNING_MAX && g_hash_table_iter_next(&i, NULL, &value)) {
		const struct bb_job *job = value;

		if (job->backend != b || !job->execution)
			continue;
		ages_us[nr] = now_us - job->started_us;
		oldest_us = MAX(oldest_us, ages_us[nr]);
		nr++;
	}
	if (!bb_breaker_is_stalled(ages_us, nr,
				   bb_queue_mean_service_us(b->queue),
				   now_us - b->answered_us))
		return;
	bb_breaker_failed(&b->breaker, now_us - oldest_us, now_us);
	log_breaker(b, b->breaker.failures, now_us);
}

static gboolean on_expire(gpointer data)
{
	struct bb_adjacent *a = data;
	int64_t now_us = bb_clock_now_us();
	GList *all = g_hash_table_get_values(a->backends);

	for (GList *l = all; l; l = l->next) {
		check_stalled(l->data, now_us);
		bb_adjacent_start_waiting(l->data);
	}
	g_list_free(all);
	bb_request_id_set_expire(a->seen, now_us);
	return G_SOURCE_CONTINUE;
}

struct bb_adjacent *bb_adjacent_new(const struct bb_adjacent_options *o,
				    struct bb_error *err)
{
	struct bb_adjacent *a = g_new0(struct bb_adjacent, 1);

	a->o = *o;
	a->executor = bb_executor_new(o->context, err);
	if (!a->executor) {
		g_free(a);
		return NULL;
	}
	a->backends = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_backend);
	a->jobs = g_hash_table_new(bb_request_id_hash, bb_request_id_equal);
	a->seen = bb_request_id_set_new();
	a->timer = bb_loop_add_timeout(o->context, EXPIRE_INTERVAL_US,
				       on_expire, a);
	return a;
}

unsigned int bb_adjacent_jobs(const struct bb_adjacent *a)
{
	return g_hash_table_size(a->jobs);
}

static gboolean remove_job(gpointer key, gpointer value, gpointer data)
{
	struct bb_job *job = value;

	(void)key;
	(void)data;
	bb_adjacent_spans_end(&job->hop, BB_VERDICT_MAY_HAVE_RUN,
			      BB_REASON_STOPPING, 0);
	bb_received_message_delete(job->received);
	g_free(job);
	return TRUE;
}

void bb_adjacent_delete(struct bb_adjacent *a)
{
	if (!a)
		return;
	bb_loop_remove(&a->timer);
	bb_executor_delete(a->executor);
	g_hash_table_foreach_remove(a->jobs, remove_job, NULL);
	g_hash_table_destroy(a->jobs);
	g_hash_table_destroy(a->backends);
	bb_request_id_set_delete(a->seen);
	bb_snapshot_put(a->snapshot);
	g_free(a);
}
