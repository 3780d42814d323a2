#include "libnode/adjacent_private.h"

#include <string.h>
#include <xxhash.h>

#include "baobabward/admission.h"
#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "libnode/executor.h"
#include "libnode/headers.h"
#include "libnode/incoming_body.h"
#include "libnode/request_spans.h"
#include "libnode/loop.h"
#include "libnode/request_id_set.h"

/* Limit on the time left in an EXECUTE. */
#define EXECUTE_TIMEOUT_MAX_US (300 * BB_US_PER_S)
/* Interval of forgetting old ids and refusing queued requests that are late. */
#define EXPIRE_INTERVAL_US (50 * BB_US_PER_MS)

/* Time without a part after which the reading of a body is given up: that of
 * several lost connections. */
#define BODY_STALL_US (5 * BB_US_PER_S)

/*
 * Time for which a result tells the entry node to avoid a leaving backend
 * server. An entry node that does not know yet that the server is leaving tries
 * it again after this time.
 */
#define LEAVING_AVOID_US (2 * BB_US_PER_S)

/**
 * struct bb_job - a request that is queued or running.
 * @reply_to: destination of its RESULT
 * @received: message that holds the memory of @request, may be NULL
 * @execution: set while it runs
 * @memory: claim on memory for the body of a request of another node
 * @body: body that is read from another node; the request is neither queued nor
 *        running before it is complete
 * @spans: trace spans
 * @refusal: why its queue refused it
 * @started_us: when it was sent to the backend server
 * @backend_started_ms: when the backend server had started by then
 * @reuse_us: see struct bb_execution_request
 */
struct bb_job {
	struct bb_adjacent *adjacent;
	struct bb_reply_address reply_to;
	struct bb_received_message *received;
	struct bb_message_execute request;
	struct adjacent_backend *backend;
	struct bb_execution *execution;
	struct bb_queue_entry queue_entry;
	struct bb_body_claim memory;
	struct bb_incoming_body body;
	struct bb_adjacent_spans spans;
	enum bb_reason refusal;
	int64_t started_us;
	double backend_started_ms;
	int64_t reuse_us;
};

static void free_backend(void *data)
{
	struct adjacent_backend *b = data;

	g_free(b->name);
	g_free(b->url);
	bb_loop_remove(&b->wake_timer);
	bb_adjacent_cancel_check(b);
	bb_queue_delete(b->queue);
	g_free(b);
}

/* Limit on the requests examined for the work of a backend server; beyond it
 * the work is that of as many requests of the same mean. */
#define WORK_JOBS_MAX 64

static bool places_by_cost(const struct bb_adjacent *a)
{
	return a->snapshot && a->snapshot->config->policies.place_by_cost;
}

/* Expected time of a request on a backend server of mean speed. */
static int64_t job_cost_us(const struct bb_job *job)
{
	int64_t cost_us = job->request.cost_us;

	return cost_us > 0 ? MIN(cost_us, EXECUTE_TIMEOUT_MAX_US) :
			     bb_queue_mean_service_us(job->backend->queue);
}

static int64_t remaining_work_us(const struct adjacent_backend *b,
				 int64_t now_us)
{
	int64_t total = (int64_t)bb_queue_running(b->queue) +
			bb_queue_waiting(b->queue);
	int64_t work_us = 0;
	int64_t nr = 0;
	GHashTableIter i;
	gpointer value;

	g_hash_table_iter_init(&i, b->adjacent->jobs);
	while (nr < WORK_JOBS_MAX && g_hash_table_iter_next(&i, NULL, &value)) {
		const struct bb_job *job = value;

		if (job->backend != b ||
		    bb_incoming_body_is_receiving(&job->body))
			continue;
		work_us += bb_server_cost_remaining_us(
			&b->cost, job_cost_us(job),
			job->execution ? now_us - job->started_us : -1, now_us);
		nr++;
	}
	return nr && total > nr ? work_us / nr * total : work_us;
}

static struct bb_load backend_load(const struct adjacent_backend *b)
{
	int64_t now_us = bb_clock_now_us();
	struct bb_load load = bb_queue_load(b->queue, now_us);
	int64_t left_us = b->avoid_until_us - now_us;

	load.avoid_for_us =
		MAX(left_us, bb_breaker_open_us(&b->breaker, now_us));
	/* A request that came earlier would find no free start. */
	if (bb_warmup_is_cold(&b->warmup, now_us))
		load.avoid_for_us =
			MAX(load.avoid_for_us,
			    bb_queue_rate_wait_us(b->queue, now_us));
	load.avoid_for_us = MAX(0, load.avoid_for_us);
	if (bb_adjacent_is_leaving(b))
		load.avoid_for_us = MAX(load.avoid_for_us, LEAVING_AVOID_US);
	if (places_by_cost(b->adjacent)) {
		load.work_us = remaining_work_us(b, now_us);
		load.speed_permille = bb_server_cost_speed(&b->cost, now_us);
	}
	return load;
}

/* One slot of several stands for a backend server that takes only trials; a limit
 * on the rate may leave one slot as well. */
static struct bb_load without_trials(const struct adjacent_backend *b,
				     struct bb_load load)
{
	if (load.slots == 1 && b->slots > 1) {
		load.slots++;
		load.in_flight++;
	}
	return load;
}

/*
 * Load for other nodes. A backend server that takes trials has one slot for
 * them, which is free unless all of its slots are taken; with @trials, it also
 * asks to be avoided while a trial runs.
 */
static struct bb_load reported_load(const struct adjacent_backend *b,
				    bool trials)
{
	struct bb_load load = backend_load(b);
	int64_t now_us = bb_clock_now_us();

	if (!b->breaker.reported)
		return load;
	if (!b->adjacent->o.breaker ||
	    !b->adjacent->snapshot->config->automation ||
	    !bb_breaker_takes_trials(&b->breaker, now_us))
		return without_trials(b, load);
	load.in_flight = load.in_flight + load.queued >= load.slots;
	load.queued = 0;
	load.slots = 1;
	if (!trials &&
	    load.avoid_for_us == bb_breaker_open_us(&b->breaker, now_us))
		load.avoid_for_us = 0;
	return load;
}

bool bb_adjacent_load(const struct bb_adjacent *a, const char *backend,
		      struct bb_load *load)
{
	const struct adjacent_backend *b =
		g_hash_table_lookup(a->backends, backend);

	if (!b || !b->configured)
		return false;
	*load = reported_load(b, true);
	return true;
}

size_t bb_adjacent_reports(const struct bb_adjacent *a, bool trials,
			   struct bb_backend_report *reports, size_t max)
{
	GHashTableIter i;
	gpointer value;
	size_t nr = 0;

	g_hash_table_iter_init(&i, a->backends);
	while (nr < max && g_hash_table_iter_next(&i, NULL, &value)) {
		const struct adjacent_backend *b = value;

		if (!b->configured)
			continue;
		reports[nr++] = (struct bb_backend_report){
			.backend = { b->name, strlen(b->name) },
			.started_ms = (uint64_t)b->started_ms,
			.load = reported_load(b, trials),
		};
	}
	return nr;
}

static void reply(struct bb_adjacent *a, const struct bb_reply_address *to,
		  const struct bb_request_id *id,
		  const struct adjacent_backend *b, struct bb_message_result *r)
{
	struct bb_message m = { .type = BB_MESSAGE_RESULT };

	r->id = *id;
	r->receiver_incarnation = a->o.incarnation;
	if (b)
		r->load = reported_load(b, true);
	m.result = *r;
	a->o.reply(a->o.data, to, &m);
}

static void refuse(struct bb_adjacent *a, const struct bb_reply_address *to,
		   const struct bb_request_id *id,
		   const struct adjacent_backend *b, enum bb_verdict verdict,
		   enum bb_reason reason)
{
	struct bb_message_result r = {
		.verdict = verdict,
		.reason = reason,
		.status = bb_reason_status(reason),
	};

	if (b && reason == BB_REASON_QUEUE_FULL &&
	    bb_warmup_is_cold(&b->warmup, bb_clock_now_us()))
		bb_metrics_add(BB_METRIC_COLD_REFUSALS, 1);
	reply(a, to, id, b, &r);
}

/* Frees what a job holds; it is in the table of jobs no more. */
static void delete_job(struct bb_job *job)
{
	if (bb_incoming_body_is_receiving(&job->body))
		job->backend->receiving--;
	bb_incoming_body_end(&job->body);
	bb_body_claim_end(job->adjacent->o.memory, &job->memory);
	bb_received_message_delete(job->received);
	g_free(job);
}

static void free_job(struct bb_job *job)
{
	g_hash_table_remove(job->adjacent->jobs, &job->request.id);
	delete_job(job);
}

/* Frees the job before the reply, since the reply may submit a new request. */
static void refuse_job(struct bb_job *job, enum bb_verdict verdict,
		       enum bb_reason reason)
{
	struct bb_adjacent *a = job->adjacent;
	struct bb_reply_address to = job->reply_to;
	struct bb_request_id id = job->request.id;
	struct adjacent_backend *b = job->backend;

	bb_adjacent_spans_end(&job->spans, verdict, reason, 0);
	free_job(job);
	refuse(a, &to, &id, b, verdict, reason);
}

static struct bb_job *queue_entry_job(struct bb_queue_entry *e)
{
	return (struct bb_job *)(void *)((char *)e -
					 offsetof(struct bb_job, queue_entry));
}

/*
 * The queue calls this from inside its own functions. A reply may submit a new
 * request to the same queue, so replies are sent after it has returned.
 */
void bb_adjacent_queue_refused(void *data, struct bb_queue_entry *e,
			       enum bb_reason reason)
{
	struct bb_adjacent *a = data;
	struct bb_job *job = queue_entry_job(e);

	if (a->snapshot->config->policies.rank_order)
		bb_log_event(BB_LOG_BACKEND, G_LOG_LEVEL_INFO, NULL, "given_up",
			     "backend=%s rank=%u waited_ms=%" G_GINT64_FORMAT
			     " reason=%s waiting=%u",
			     job->backend->name, e->rank,
			     (bb_clock_now_us() - e->pushed_us) / BB_US_PER_MS,
			     bb_reason_string[reason],
			     bb_queue_waiting(job->backend->queue));

	job->refusal = reason;
	g_queue_push_tail(&a->refused_jobs, job);
}

void bb_adjacent_reply_refused(struct bb_adjacent *a)
{
	struct bb_job *job;

	while ((job = g_queue_pop_head(&a->refused_jobs)))
		refuse_job(job, BB_VERDICT_NOT_RUN, job->refusal);
}

static void set_result(struct bb_message_result *m,
		       const struct bb_execution_result *r)
{
	static const struct {
		enum bb_verdict verdict;
		enum bb_reason reason;
	} results[] = {
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

	m->verdict = results[r->end].verdict;
	m->reason = results[r->end].reason;
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
 * libcurl owns the connections. This mirrors what it did, so that the queue can
 * enforce the limit on connections.
 */
static void count_connection(struct bb_job *job, bool kept, bool new_connection)
{
	struct adjacent_backend *b = job->backend;

	if (new_connection && !job->queue_entry.opens_connection) {
		/* The idle connection to be reused had been closed. */
		bb_queue_connection_closed(b->queue);
		bb_queue_connection_opened(b->queue, bb_clock_now_us());
	}
	if (kept && (job->request.idempotent || job->reuse_us))
		b->idle_connections++;
	else
		bb_queue_connection_closed(b->queue);
}

static void count_closed_idle(struct adjacent_backend *b, unsigned int nr)
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
		/*
		 * A time-out on a reused connection may be the fault of the
		 * connection; only one on a new connection counts against the
		 * backend server.
		 */
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

static void report_observation(const struct bb_job *job,
			       enum bb_outcome_kind kind, int64_t latency_us,
			       bool new_connection, int64_t opened_us)
{
	const struct bb_bytes *account = &job->request.account;
	const struct bb_bytes *route = &job->request.route;
	struct bb_observation *o;

	if (!job->adjacent->o.control)
		return;
	o = g_new0(struct bb_observation, 1);
	o->backend = g_strdup(job->backend->name);
	o->started_ms = job->backend_started_ms;
	o->outcome.class_id = (uint32_t)(XXH3_64bits(route->data, route->size) %
					 BB_HEALTH_ROUTE_CLASSES);
	/* 31 bits, since all 32 bits set mean that there is no account. */
	o->outcome.account =
		(uint32_t)(XXH3_64bits(account->data, account->size) >> 33);
	o->outcome.kind = kind;
	o->outcome.latency_us = latency_us;
	o->outcome.new_connection = new_connection;
	if (job->request.idempotent)
		o->outcome.opened_us = opened_us;
	bb_control_observe(job->adjacent->o.control, o);
}

static void log_breaker(const struct adjacent_backend *e, uint32_t failures,
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

/* False if the backend server has started again under its name since the request
 * was sent; what became of the request then says nothing of the new process. */
static bool is_of_present_start(const struct bb_job *job)
{
	return job->backend_started_ms == job->backend->started_ms;
}

/* Ignores outcomes that do not show whether the backend server works. */
static void update_breaker(struct bb_job *job, enum bb_outcome_kind kind,
			   int64_t now_us)
{
	struct bb_breaker *b = &job->backend->breaker;
	uint32_t failures = b->failures;

	if (!is_of_present_start(job))
		return;
	switch (kind) {
	case BB_OUTCOME_OK:
	case BB_OUTCOME_CLIENT_ERROR:
		job->backend->last_answer_us = now_us;
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
	if (!failures == !b->failures)
		return;
	log_breaker(job->backend, MAX(failures, b->failures), now_us);
	if (job->adjacent->o.state_changed)
		job->adjacent->o.state_changed(job->adjacent->o.data);
}

static const struct bb_bytes *caller_request_id(const struct bb_job *job)
{
	const struct bb_dialect *d = job->adjacent->o.dialect;

	for (size_t i = 0; d && i < job->request.headers_nr; i++)
		if (bb_header_named(&job->request.headers[i].name,
				    d->request_id))
			return &job->request.headers[i].value;
	return NULL;
}

/* Logs under the request id of the caller if there is one. */
static void log_execution(const struct bb_job *job,
			  const struct bb_execution_result *r)
{
	const struct bb_bytes *id = caller_request_id(job);
	const struct bb_queue *q = job->backend->queue;
	char name[64];

	if (id)
		g_snprintf(name, sizeof(name), "%.*s", (int)id->size, id->data);
	else
		g_snprintf(name, sizeof(name),
			   "%016" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT,
			   job->request.id.incarnation,
			   job->request.id.sequence);
	bb_log_event(
		BB_LOG_BACKEND, G_LOG_LEVEL_INFO, name, "executed",
		"backend=%s end=%s status=%u queued_ms=%" G_GINT64_FORMAT
		" took_ms=%" G_GINT64_FORMAT
		" new_connection=%d port=%u body_end=%s bytes=%zu running=%u"
		" waiting=%u slots=%u limit=%g cost_ms=%" G_GINT64_FORMAT
		" speed_permille=%u",
		job->backend->name, bb_execution_end_string[r->end], r->status,
		(job->started_us - job->queue_entry.pushed_us) / BB_US_PER_MS,
		r->latency_us / BB_US_PER_MS, r->new_connection, r->local_port,
		bb_body_end_string[r->body_end], r->body.size,
		bb_queue_running(q), bb_queue_waiting(q),
		bb_queue_load(q, bb_clock_now_us()).slots,
		r->notice.limit == BB_LIMIT_NAMED ? r->notice.limit_per_s :
						    -1.0,
		job->request.cost_us / BB_US_PER_MS,
		bb_server_cost_speed(&job->backend->cost, bb_clock_now_us()));
	if (r->end != BB_EXECUTION_DONE)
		bb_log(BB_LOG_BACKEND, G_LOG_LEVEL_INFO, name,
		       "request to %s failed: %s", job->backend->name,
		       r->detail);
}

static void log_notice(const struct adjacent_backend *b,
		       const struct bb_notice *n)
{
	static const char *const limit_string[] = { "none", "named",
						    "unreadable" };

	bb_log_event(BB_LOG_BACKEND, G_LOG_LEVEL_INFO, NULL, "notice",
		     "backend=%s limit=%s per_s=%g leaving=%d unreadable=%u",
		     b->name, limit_string[n->limit], n->limit_per_s,
		     n->leaving, n->unreadable);
}

static void take_notice(struct bb_job *job, const struct bb_notice *n)
{
	struct adjacent_backend *b = job->backend;
	int64_t now_us = bb_clock_now_us();
	struct bb_notice_record *r = bb_adjacent_record(b, now_us);

	if (!r || !is_of_present_start(job))
		return;
	bb_metrics_add(BB_METRIC_NOTICES_UNREADABLE, n->unreadable);
	r->answered = true;
	if (bb_notices_take(r, n, job->started_us, now_us))
		log_notice(b, n);
	bb_adjacent_apply_notices(b, r, now_us);
}

/* Errors may come at once and say nothing of the cost of the request. Return:
 * time of the request in its slot, 0 if it tells nothing. */
static int64_t learn_cost(struct bb_job *job,
			  const struct bb_execution_result *r)
{
	int64_t now_us = bb_clock_now_us();
	int64_t took_us = now_us - job->started_us;

	if (!places_by_cost(job->adjacent) || r->end != BB_EXECUTION_DONE ||
	    r->status >= 500)
		return 0;
	if (is_of_present_start(job))
		bb_server_cost_finished(&job->backend->cost, job_cost_us(job),
					took_us, now_us);
	return MAX(1, took_us);
}

static void on_executed(void *data, const struct bb_execution_result *r)
{
	struct bb_job *job = data;
	struct bb_adjacent *a = job->adjacent;
	struct adjacent_backend *b = job->backend;
	struct bb_message_result m = { 0 };
	struct bb_reply_address to = job->reply_to;
	struct bb_request_id id = job->request.id;

	log_execution(job, r);
	bb_metrics_observe(BB_HISTOGRAM_EXECUTION, r->latency_us);
	bb_metrics_observe(BB_HISTOGRAM_QUEUE,
			   job->started_us - job->queue_entry.pushed_us);
	count_connection(job, r->end == BB_EXECUTION_DONE, r->new_connection);
	count_closed_idle(b, r->closed_idle);
	update_breaker(job, outcome_kind(r), bb_clock_now_us());
	if (r->end == BB_EXECUTION_FOREIGN)
		bb_metrics_add(BB_METRIC_FOREIGN_ANSWERS, 1);
	if (r->end == BB_EXECUTION_DONE || r->end == BB_EXECUTION_REFUSED)
		take_notice(job, &r->notice);
	if (is_of_present_start(job))
		bb_adjacent_note_answer(b, r, job->started_us);
	report_observation(job, outcome_kind(r), r->latency_us,
			   r->new_connection, r->opened_us);
	/* Errors may come at once and would distort the mean service time. */
	bb_queue_finish(b->queue, &job->queue_entry,
			r->end == BB_EXECUTION_DONE && r->status < 500,
			bb_clock_now_us());
	set_result(&m, r);
	m.service_us = learn_cost(job, r);
	bb_adjacent_spans_end(&job->spans, m.verdict, m.reason, r->status);
	free_job(job);
	reply(a, &to, &id, b, &m);
	bb_adjacent_start_queued(b);
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
	struct adjacent_backend *b = job->backend;
	const struct bb_route *route = find_route(a, &job->request.route);
	struct bb_execution_request r = {
		.url = b->url,
		.target = job->request.target,
		.method = job->request.method,
		.headers = job->request.headers,
		.headers_nr = job->request.headers_nr,
		.body = job->request.body,
		.traceparent = bb_adjacent_spans_begin_exchange(
			&job->spans, &job->request, b->name),
		.timeout_us = job->request.not_after_us - now_us,
		/* A larger body would not fit into the RESULT. */
		.max_body = route ? MIN(route->max_body_bytes, BB_BODY_MAX) :
				    BB_BODY_MAX,
		.at_most_once = !job->request.idempotent,
		.reuse_us = job->reuse_us,
		.dialect = a->o.dialect,
		.backend_id = b->name,
	};
	struct bb_error err;

	job->execution =
		bb_executor_start(a->executor, &r, on_executed, job, &err);
	if (!job->execution) {
		bb_log_warning(BB_LOG_BACKEND,
			       "cannot start request: %s; refusing it",
			       err.message);
		bb_queue_finish(b->queue, &job->queue_entry, false, now_us);
		bb_queue_connection_closed(b->queue);
		refuse_job(job, BB_VERDICT_NOT_RUN, BB_REASON_INTERNAL);
		return;
	}
	if ((!job->queue_entry.opens_connection ||
	     job->queue_entry.closes_idle) &&
	    b->idle_connections)
		b->idle_connections--;
	job->started_us = now_us;
	job->backend_started_ms = b->started_ms;
	bb_metrics_add(BB_METRIC_EXECUTED, 1);
}

static gboolean on_wake(gpointer data)
{
	struct adjacent_backend *b = data;

	bb_loop_remove(&b->wake_timer);
	bb_adjacent_start_queued(b);
	return G_SOURCE_REMOVE;
}

void bb_adjacent_start_queued(struct adjacent_backend *b)
{
	struct bb_adjacent *a = b->adjacent;
	int64_t now_us = bb_clock_now_us();
	struct bb_queue_entry *e;
	int64_t wake_us;

	bb_queue_expire(b->queue, now_us);
	while ((e = bb_queue_pop(b->queue, b->idle_connections, now_us,
				 &wake_us)))
		start_job(queue_entry_job(e), now_us);
	if (wake_us != INT64_MAX && !b->wake_timer)
		b->wake_timer = bb_loop_add_timeout(
			a->o.context, wake_us - now_us, on_wake, b);
	bb_adjacent_reply_refused(a);
}

/* A request whose body is still to be read is no trial of the breaker yet. */
static enum bb_reason check_request(struct bb_adjacent *a,
				    const struct bb_message_execute *x,
				    struct adjacent_backend *b, bool complete,
				    int64_t now_us)
{
	const struct bb_admission_request request = { x->idempotent,
						      x->last_resort,
						      x->may_wait };
	bool breaker = complete && a->o.breaker &&
		       a->snapshot->config->automation;

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
	if (x->not_after_us - now_us > EXECUTE_TIMEOUT_MAX_US)
		return BB_REASON_BAD_REQUEST;
	return bb_admission_check(&request, b->queue,
				  breaker ? &b->breaker : NULL, now_us);
}

static struct adjacent_backend *find_backend(struct bb_adjacent *a,
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

/* Part of the timeout of its route after which a request has probably been
 * refused before: its caller came back with the deadline of its first try. */
#define RETURNED_PERCENT 10

/*
 * A request waits only as long as its answer can still arrive within the target
 * latency of its route; a request that would wait longer is refused at once.
 * With an order of ranks it may wait until its deadline, behind those whose
 * answers can be in time.
 */
static void set_max_wait(const struct bb_adjacent *a, struct bb_job *job,
			 int64_t now_us)
{
	const struct bb_route *r = find_route(a, &job->request.route);
	bool ranked = a->snapshot->config->policies.rank_order;
	struct bb_queue_entry *e = &job->queue_entry;
	const struct bb_account *account;
	struct bb_wait_limits limits;

	/*
	 * A request without a client account was sent by a backend server,
	 * whose own work would be lost by a refusal.
	 */
	if (!job->request.account.size) {
		if (ranked)
			e->max_wait_us =
				MAX(1, job->request.not_after_us - now_us);
		return;
	}
	/* The ranks of routes that this node does not know are not known. */
	e->rank = BB_QUEUE_RANKS - 1;
	if (!r)
		return;
	account = find_account(a, &job->request.account);
	/* The deadline is the end of the route's timeout, or earlier. */
	limits = (struct bb_wait_limits){
		.left_us = job->request.not_after_us - now_us,
		.timeout_us = r->timeout_ms * BB_US_PER_MS,
		.target_us = r->target_latency_ms * BB_US_PER_MS,
		.service_us = bb_queue_mean_service_us(job->backend->queue),
		.priority = account && account->ranked ? account->priority :
							 r->priority,
		.ranked = ranked,
	};
	e->max_wait_us = bb_admission_wait_us(&limits);
	if (!ranked)
		return;
	e->rank = 1 + limits.priority;
	e->returned = limits.left_us * 100 <
		      limits.timeout_us * (100 - RETURNED_PERCENT);
	e->useful_wait_us = e->max_wait_us;
	if (!limits.target_us)
		return;
	/* The entry node then cancels it to try another backend server. */
	if (job->request.idempotent && a->o.attempt_percent)
		limits.left_us = limits.left_us * a->o.attempt_percent / 100;
	e->max_wait_us =
		MAX(e->useful_wait_us, bb_admission_late_wait_us(&limits));
}

static void fill_queue_entry(const struct bb_adjacent *a, struct bb_job *job,
			     int64_t now_us)
{
	const struct bb_bytes *name = &job->request.account;
	const struct bb_account *account = find_account(a, name);

	job->queue_entry.account = XXH3_64bits(name->data, name->size);
	job->queue_entry.weight = account ? account->weight : 1.0;
	job->queue_entry.not_after_us = job->request.not_after_us;
	job->queue_entry.idempotent = job->request.idempotent;
	if (!job->request.idempotent)
		job->reuse_us =
			a->snapshot->config->policies.reuse_ms * BB_US_PER_MS;
	job->queue_entry.needs_new_connection = !job->request.idempotent &&
						!job->reuse_us;
	set_max_wait(a, job, now_us);
}

/*
 * After a restart this node knows no limit until the first answer, for which as
 * many requests may be running as there are slots. The entry nodes still know
 * it.
 */
static void take_limit_of_sender(struct adjacent_backend *b,
				 const struct bb_message_execute *x,
				 int64_t now_us)
{
	struct bb_notice_record *r;

	if (!x->limit_milli)
		return;
	r = bb_adjacent_record(b, now_us);
	if (!r || r->answered)
		return;
	r->limit_per_s = x->limit_milli / 1000.0;
	b->named_limit_per_s = r->limit_per_s;
	bb_adjacent_apply_rate(b, now_us);
}

/* Claims the memory of a body that another node sent. The one of a call of this
 * node has a claim of its own. */
static bool claim_body(struct bb_adjacent *a, struct bb_job *job, uint64_t size,
		       int64_t now_us)
{
	if (!size || job->reply_to.local)
		return true;
	bb_body_claim_begin(a->o.memory, &job->memory, BB_BODY_FORWARDED, 0, 0,
			    now_us);
	return bb_body_claim_resize(a->o.memory, &job->memory, size, now_us);
}

static void queue_job(struct bb_job *job, int64_t now_us)
{
	struct adjacent_backend *b = job->backend;
	enum bb_reason reason;

	fill_queue_entry(job->adjacent, job, now_us);
	reason = bb_queue_push(b->queue, &job->queue_entry, now_us);
	if (reason) {
		bb_breaker_trial_dropped(&b->breaker, now_us);
		refuse_job(job, BB_VERDICT_NOT_RUN, reason);
	}
	bb_adjacent_start_queued(b);
}

static void read_part(const struct bb_job *job)
{
	struct bb_adjacent *a = job->adjacent;
	struct bb_message m = { .type = BB_MESSAGE_BODY_READ };

	m.body_read = (struct bb_message_body_read){
		.id = job->request.id,
		.receiver_incarnation = a->o.incarnation,
		.offset = (uint32_t)job->body.received,
		.size = bb_incoming_body_part_size(&job->body),
	};
	a->o.reply(a->o.data, &job->reply_to, &m);
}

/* Answers or drops a request, or makes it a job. @body_bytes: size of a body that
 * is still to be read, 0 for none. */
static void take_request(struct bb_adjacent *a,
			 const struct bb_reply_address *to,
			 struct bb_received_message *received,
			 const struct bb_message_execute *x,
			 uint32_t body_bytes)
{
	struct adjacent_backend *b = find_backend(a, &x->backend);
	int64_t now_us = bb_clock_now_us();
	enum bb_reason reason;
	struct bb_job *job;

	/*
	 * An earlier incarnation may have received the same message, so the
	 * request may have run.
	 */
	if (x->receiver_incarnation != a->o.incarnation) {
		refuse(a, to, &x->id, NULL, BB_VERDICT_MAY_HAVE_RUN,
		       BB_REASON_WRONG_INCARNATION);
		bb_received_message_delete(received);
		return;
	}
	/*
	 * The first copy of the message gets the answer, or was cancelled. The
	 * id of a refused request is kept too: a second copy must not run after
	 * the verdict "not run".
	 */
	if (!bb_request_id_set_add(a->seen_ids, &x->id, x->not_after_us)) {
		bb_received_message_delete(received);
		return;
	}
	if (b)
		take_limit_of_sender(b, x, now_us);
	reason = check_request(a, x, b, !body_bytes, now_us);
	if (reason) {
		refuse(a, to, &x->id, b, BB_VERDICT_NOT_RUN, reason);
		bb_received_message_delete(received);
		return;
	}
	job = g_new0(struct bb_job, 1);
	job->adjacent = a;
	job->reply_to = *to;
	job->received = received;
	job->request = *x;
	job->backend = b;
	g_hash_table_insert(a->jobs, &job->request.id, job);
	bb_adjacent_spans_begin(&job->spans, a->o.tracer, &job->request);
	if (!claim_body(a, job, body_bytes ? body_bytes : x->body.size,
			now_us) ||
	    (body_bytes &&
	     !bb_incoming_body_begin(&job->body, body_bytes, now_us))) {
		bb_breaker_trial_dropped(&b->breaker, now_us);
		refuse_job(job, BB_VERDICT_NOT_RUN, BB_REASON_BODY_MEMORY);
		bb_adjacent_start_queued(b);
		return;
	}
	if (!body_bytes) {
		queue_job(job, now_us);
		return;
	}
	b->receiving++;
	read_part(job);
}

void bb_adjacent_execute(struct bb_adjacent *a,
			 const struct bb_reply_address *to,
			 struct bb_received_message *received,
			 const struct bb_message_execute *x)
{
	take_request(a, to, received, x, 0);
}

void bb_adjacent_execute_large(struct bb_adjacent *a,
			       const struct bb_reply_address *to,
			       struct bb_received_message *received,
			       const struct bb_message_execute_large *x)
{
	take_request(a, to, received, &x->execute, x->body_bytes);
}

/* A part that arrives on another connection is one of an earlier attempt to send
 * it, or not of the entry node. */
static bool is_from_entry(const struct bb_job *job,
			  const struct bb_sender *from)
{
	const struct bb_sender *to = &job->reply_to.sender;

	return from->is_request && to->is_request &&
	       !memcmp(from->routing_id, to->routing_id, BB_ROUTING_ID_SIZE);
}

void bb_adjacent_body_part(struct bb_adjacent *a, const struct bb_sender *from,
			   const struct bb_message_body_part *x)
{
	struct bb_job *job = g_hash_table_lookup(a->jobs, &x->id);
	int64_t now_us = bb_clock_now_us();
	enum bb_reason reason;

	if (!job || x->receiver_incarnation != a->o.incarnation ||
	    !is_from_entry(job, from) ||
	    !bb_incoming_body_add(&job->body, x->offset, &x->bytes, now_us))
		return;
	if (bb_incoming_body_is_receiving(&job->body)) {
		read_part(job);
		return;
	}
	job->backend->receiving--;
	job->request.body = (struct bb_bytes){ job->body.data, job->body.size };
	reason = check_request(a, &job->request, job->backend, true, now_us);
	if (reason)
		refuse_job(job, BB_VERDICT_NOT_RUN, reason);
	else
		queue_job(job, now_us);
}

/* Gives up bodies of which no part has arrived for long. */
static void refuse_stalled_bodies(struct bb_adjacent *a, int64_t now_us)
{
	GList *all = g_hash_table_get_values(a->jobs);

	for (GList *l = all; l; l = l->next) {
		struct bb_job *job = l->data;

		if (bb_incoming_body_is_receiving(&job->body) &&
		    (now_us - job->body.moved_us >= BODY_STALL_US ||
		     now_us >= job->request.not_after_us))
			refuse_job(job, BB_VERDICT_NOT_RUN, BB_REASON_DEADLINE);
	}
	g_list_free(all);
}

/*
 * Share of the time left at the start of a running request, from which its
 * cancellation counts as a time-out.
 */
#define CANCEL_AS_TIMEOUT_PERCENT 40

/*
 * Entry nodes cancel an idempotent request when half of its time is over, and
 * any other when all of it is over. A caller seldom waits that long before it
 * hangs up.
 */
static bool is_timeout(const struct bb_job *job, int64_t now_us)
{
	int64_t allowed_us = job->request.not_after_us - job->started_us;

	return (now_us - job->started_us) * 100 >=
	       allowed_us * CANCEL_AS_TIMEOUT_PERCENT;
}

void bb_adjacent_cancel(struct bb_adjacent *a,
			const struct bb_reply_address *to,
			const struct bb_message_cancel *x)
{
	struct bb_job *job = g_hash_table_lookup(a->jobs, &x->id);
	int64_t now_us = bb_clock_now_us();
	struct adjacent_backend *b;

	if (x->receiver_incarnation != a->o.incarnation) {
		refuse(a, to, &x->id, NULL, BB_VERDICT_MAY_HAVE_RUN,
		       BB_REASON_WRONG_INCARNATION);
		return;
	}
	if (!job) {
		/*
		 * An id that is unknown before its deadline was never received;
		 * after the deadline it may have been forgotten.
		 */
		bool never_received = now_us < x->not_after_us &&
				      bb_request_id_set_add(a->seen_ids, &x->id,
							    x->not_after_us);

		refuse(a, to, &x->id, NULL,
		       never_received ? BB_VERDICT_NOT_RUN :
					BB_VERDICT_MAY_HAVE_RUN,
		       BB_REASON_CANCELLED);
		return;
	}
	b = job->backend;
	if (bb_incoming_body_is_receiving(&job->body)) {
		refuse_job(job, BB_VERDICT_NOT_RUN, BB_REASON_CANCELLED);
		return;
	}
	if (bb_queue_cancel(b->queue, &job->queue_entry)) {
		bb_breaker_trial_dropped(&b->breaker,
					 job->queue_entry.pushed_us);
		refuse_job(job, BB_VERDICT_NOT_RUN, BB_REASON_CANCELLED);
		return;
	}
	if (is_timeout(job, now_us)) {
		update_breaker(job, BB_OUTCOME_TIMEOUT, now_us);
		report_observation(job, BB_OUTCOME_TIMEOUT,
				   now_us - job->started_us,
				   job->queue_entry.opens_connection, 0);
		count_closed_idle(b,
				  bb_executor_cancel_timed_out(job->execution));
	} else {
		bb_executor_cancel(job->execution);
	}
	bb_queue_finish(b->queue, &job->queue_entry, false, now_us);
	bb_queue_connection_closed(b->queue);
	refuse_job(job, BB_VERDICT_MAY_HAVE_RUN, BB_REASON_CANCELLED);
	bb_adjacent_start_queued(b);
}

/* Limit on the running requests examined for a stalled backend server. */
#define STALL_CHECK_JOBS_MAX 64

static void check_stalled(struct adjacent_backend *b, int64_t now_us)
{
	int64_t ages_us[STALL_CHECK_JOBS_MAX] = { 0 };
	int64_t oldest_us = 0;
	size_t nr = 0;
	GHashTableIter i;
	gpointer value;

	if (!b->adjacent->o.breaker || b->breaker.failures)
		return;
	g_hash_table_iter_init(&i, b->adjacent->jobs);
	while (nr < STALL_CHECK_JOBS_MAX &&
	       g_hash_table_iter_next(&i, NULL, &value)) {
		const struct bb_job *job = value;

		if (job->backend != b || !job->execution ||
		    !is_of_present_start(job))
			continue;
		ages_us[nr] = now_us - job->started_us;
		oldest_us = MAX(oldest_us, ages_us[nr]);
		nr++;
	}
	if (!bb_breaker_is_stalled(ages_us, nr,
				   bb_queue_mean_service_us(b->queue),
				   now_us - b->last_answer_us))
		return;
	bb_breaker_failed(&b->breaker, now_us - oldest_us, now_us);
	log_breaker(b, b->breaker.failures, now_us);
}

static gboolean on_expire(gpointer data)
{
	struct bb_adjacent *a = data;
	int64_t now_us = bb_clock_now_us();
	GList *all = g_hash_table_get_values(a->backends);
	unsigned int receiving = 0;

	for (GList *l = all; l; l = l->next) {
		struct adjacent_backend *b = l->data;

		check_stalled(b, now_us);
		bb_adjacent_tick_warmup(b, now_us);
		bb_adjacent_start_queued(b);
		receiving += b->receiving;
	}
	g_list_free(all);
	if (receiving)
		refuse_stalled_bodies(a, now_us);
	bb_request_id_set_expire(a->seen_ids, now_us);
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
	a->seen_ids = bb_request_id_set_new();
	a->expire_timer = bb_loop_add_timeout(o->context, EXPIRE_INTERVAL_US,
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
	bb_adjacent_spans_end(&job->spans, BB_VERDICT_MAY_HAVE_RUN,
			      BB_REASON_STOPPING, 0);
	delete_job(job);
	return TRUE;
}

void bb_adjacent_delete(struct bb_adjacent *a)
{
	GHashTableIter i;
	gpointer value;

	if (!a)
		return;
	g_hash_table_iter_init(&i, a->backends);
	while (g_hash_table_iter_next(&i, NULL, &value))
		bb_adjacent_cancel_check(value);
	bb_loop_remove(&a->expire_timer);
	bb_executor_delete(a->executor);
	g_hash_table_foreach_remove(a->jobs, remove_job, NULL);
	g_hash_table_destroy(a->jobs);
	g_hash_table_destroy(a->backends);
	bb_request_id_set_delete(a->seen_ids);
	bb_snapshot_put(a->snapshot);
	g_free(a);
}
