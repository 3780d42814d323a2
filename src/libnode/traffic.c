#include "libnode/traffic.h"

#include <ck_pr.h>
#include <glib.h>
#include <pthread.h>

#include "baobabward/backend_view.h"
#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "baobabward/rounds.h"
#include "libnode/adjacent.h"
#include "libnode/entry.h"
#include "libnode/endpoint.h"
#include "libnode/loop.h"
#include "libnode/mailbox.h"
#include "libnode/notices.h"
#include "libnode/session.h"

/* Limits on calls and commands that wait for the thread; powers of two. */
#define CALLS_MAX 8192u
#define COMMANDS_MAX 8192u
/*
 * Interval of publishing the number of calls in progress, checking paths and
 * closing unused connections.
 */
#define HOUSEKEEPING_INTERVAL_US (20 * BB_US_PER_MS)
/* Time without use after which the connection to a node is closed. */
#define PEER_IDLE_MAX_US (60 * BB_US_PER_S)
/*
 * Largest number of reports in a WELCOME. Hosts of the deployments with reports
 * have one backend server; a host with more than a few tells only of those that
 * take no requests, since 13 reports would make a WELCOME ten times as long.
 */
#define WELCOME_REPORTS_MAX 8
#define WELCOME_TELLS_ALL_MAX 2

/**
 * enum command_type - what another thread asks of the traffic thread.
 */
enum command_type {
	COMMAND_CONFIGURE,
	COMMAND_TOKENS_ARRIVED,
	COMMAND_RECORD_ANSWERED,
	COMMAND_HEALTH_CHANGED,
	COMMAND_LEAVING_CHANGED,
	COMMAND_DRAIN,
	COMMAND_ABORT,
	COMMAND_QUIT,
};

/**
 * struct command - command with its argument, which it owns.
 */
struct command {
	enum command_type type;
	union {
		struct bb_snapshot *snapshot;
		struct bb_record_query *query;
		struct bb_backend_health *health;
		GHashTable *hosts;
	};
};

/**
 * struct bb_traffic - the traffic thread.
 * @o: options
 * @calls: calls submitted by other threads
 * @commands: commands of other threads
 * @notices: what backend servers said of themselves
 * @snapshot: configuration in force
 * @housekeeping: periodic timer
 * @hello_senders: last sender of a HELLO by the name of its host; notified when
 *                 this node stops, and told of changes of the backend servers
 * @reports: changes of the backend servers that other nodes have to be told
 * @draining: this node is stopping and accepts no more requests of other nodes
 * @in_progress: number of calls and requests, read by other threads
 * @tokens_pending: a COMMAND_TOKENS_ARRIVED is queued; set by other threads
 */
struct bb_traffic {
	struct bb_traffic_options o;
	GMainContext *context;
	GMainLoop *loop;
	pthread_t thread;
	struct bb_mailbox *calls;
	struct bb_mailbox *commands;
	struct bb_endpoint *endpoint;
	struct bb_sessions *sessions;
	struct bb_adjacent *adjacent;
	struct bb_entry *entry;
	struct bb_notices *notices;
	struct bb_snapshot *snapshot;
	GSource *housekeeping;
	GHashTable *hello_senders;
	struct bb_report_sender *reports;
	bool draining;
	unsigned int in_progress;
	unsigned int tokens_pending;
};

static int send_message(void *data, uint32_t host, const struct bb_message *m,
			struct bb_error *err)
{
	struct bb_traffic *t = data;

	if (!bb_transport_send(bb_endpoint_transport(t->endpoint), host, m,
			       err))
		return 0;
	if (m->type != BB_MESSAGE_HELLO)
		bb_metrics_add(BB_METRIC_PEER_MESSAGES_DROPPED, 1);
	return -1;
}

static bool is_connected(void *data, uint32_t host)
{
	struct bb_traffic *t = data;

	return bb_transport_connected(bb_endpoint_transport(t->endpoint), host);
}

/* Sends the verdict without the answer, which is over a limit of messages. */
static int send_verdict(struct bb_traffic *t, const struct bb_sender *to,
			const struct bb_message *result, struct bb_error *err)
{
	struct bb_message m = *result;

	bb_log_warning(BB_LOG_TRAFFIC,
		       "cannot pass an answer on to its entry node: %s",
		       err->message);
	m.result.reason = BB_REASON_BACKEND_FAILED;
	m.result.status = bb_reason_status(m.result.reason);
	m.result.headers = NULL;
	m.result.headers_nr = 0;
	m.result.body = (struct bb_bytes){ 0 };
	return bb_transport_reply(bb_endpoint_transport(t->endpoint), to, &m,
				  err);
}

static void send_reply(void *data, const struct bb_reply_address *to,
		       const struct bb_message *result)
{
	struct bb_traffic *t = data;
	struct bb_error err;

	if (to->local) {
		bb_entry_result(t->entry, &result->result);
		return;
	}
	if (!bb_transport_reply(bb_endpoint_transport(t->endpoint), &to->sender,
				result, &err))
		return;
	if (err.code == BB_ERROR_INVALID && result->type == BB_MESSAGE_RESULT &&
	    !send_verdict(t, &to->sender, result, &err))
		return;
	bb_metrics_add(BB_METRIC_PEER_MESSAGES_DROPPED, 1);
	bb_log(BB_LOG_TRAFFIC, G_LOG_LEVEL_DEBUG, NULL,
	       "cannot send a result to its entry node: %s; dropping it",
	       err.message);
}

static bool reports_are_on(const struct bb_traffic *t)
{
	return t->snapshot->config->policies.report_bytes_per_s > 0;
}

static bool takes_requests(const struct bb_load *load)
{
	return load->avoid_for_us <= 0 &&
	       load->in_flight + load->queued < load->slots;
}

/* Moves the reports on backend servers that take no requests to the front and
 * returns their number. */
static size_t order_reports(struct bb_backend_report *reports, size_t nr)
{
	size_t front = 0;

	for (size_t i = 0; i < nr; i++) {
		struct bb_backend_report r = reports[i];

		if (takes_requests(&r.load))
			continue;
		reports[i] = reports[front];
		reports[front++] = r;
	}
	return front;
}

static void observe_backends(struct bb_traffic *t, int64_t now_us)
{
	struct bb_backend_report reports[BB_REPORTS_MAX];
	size_t nr = bb_adjacent_reports(t->adjacent, false, reports,
					BB_REPORTS_MAX);

	for (size_t i = 0; i < nr; i++)
		bb_report_sender_observe(t->reports, &reports[i], now_us);
}

/* Sends the changes of backend servers that are due, as the budget allows. */
static void send_reports(struct bb_traffic *t)
{
	struct bb_message m = { .type = BB_MESSAGE_BACKEND_REPORTS };
	struct bb_message_backend_reports *r = &m.backend_reports;
	struct bb_backend_report reports[BB_REPORTS_MAX];
	int64_t now_us = bb_clock_now_us();
	const char *host;

	if (!reports_are_on(t) || t->draining)
		return;
	observe_backends(t, now_us);
	r->incarnation = t->o.incarnation;
	r->clock_us = now_us;
	r->reports = reports;
	while ((host = bb_report_sender_next(t->reports, reports,
					     BB_REPORTS_MAX, &r->reports_nr,
					     now_us))) {
		const struct bb_sender *to =
			g_hash_table_lookup(t->hello_senders, host);
		struct bb_error err;

		if (!to ||
		    bb_transport_reply(bb_endpoint_transport(t->endpoint), to,
				       &m, &err)) {
			bb_report_sender_forget(t->reports, host);
			continue;
		}
		bb_metrics_add(BB_METRIC_REPORTS_SENT, 1);
		bb_metrics_add(BB_METRIC_REPORT_BYTES,
			       bb_report_message_bytes(reports, r->reports_nr));
	}
}

static void on_state_changed(void *data)
{
	send_reports(data);
}

/* Nodes that send requests are told of changes. */
static void count_as_listener(struct bb_traffic *t,
			      const struct bb_sender *from)
{
	const struct bb_config *c = t->snapshot->config;

	if (reports_are_on(t) && from->host < c->hosts_nr)
		bb_report_sender_heard(t->reports, c->hosts[from->host].name,
				       bb_clock_now_us());
}

static void send_welcome(struct bb_traffic *t, const struct bb_sender *to,
			 const struct bb_message_hello *h)
{
	struct bb_message m = { .type = BB_MESSAGE_WELCOME };
	struct bb_reply_address reply_to = { .sender = *to };
	struct bb_backend_report reports[BB_REPORTS_MAX];

	if (reports_are_on(t)) {
		size_t nr = bb_adjacent_reports(t->adjacent, true, reports,
						BB_REPORTS_MAX);

		if (nr > WELCOME_TELLS_ALL_MAX)
			nr = order_reports(reports, nr);
		m.welcome.reports = reports;
		m.welcome.reports_nr = MIN(nr, WELCOME_REPORTS_MAX);
	}
	m.welcome.incarnation = t->o.incarnation;
	m.welcome.config_version = t->snapshot->config->version;
	m.welcome.nonce = h->nonce;
	m.welcome.receiver_clock_us = bb_clock_now_us();
	send_reply(t, &reply_to, &m);
}

/* A RESULT without a request id says that this node accepts no requests. */
static void send_stopping(struct bb_traffic *t, const struct bb_sender *to)
{
	struct bb_message m = { .type = BB_MESSAGE_RESULT };
	struct bb_reply_address reply_to = { .sender = *to };

	m.result.receiver_incarnation = t->o.incarnation;
	m.result.verdict = BB_VERDICT_NOT_RUN;
	m.result.reason = BB_REASON_STOPPING;
	m.result.status = bb_reason_status(BB_REASON_STOPPING);
	send_reply(t, &reply_to, &m);
}

static void handle_hello(struct bb_traffic *t, const struct bb_sender *from,
			 const struct bb_message_hello *h)
{
	const struct bb_config *c = t->snapshot->config;

	if (t->draining) {
		send_stopping(t, from);
		return;
	}
	/* The row of a host changes with the configuration. */
	if (from->host < c->hosts_nr)
		g_hash_table_replace(t->hello_senders,
				     g_strdup(c->hosts[from->host].name),
				     g_memdup2(from, sizeof(*from)));
	count_as_listener(t, from);
	send_welcome(t, from, h);
}

static void drain(struct bb_traffic *t)
{
	GHashTableIter i;
	gpointer sender;

	t->draining = true;
	g_hash_table_iter_init(&i, t->hello_senders);
	while (g_hash_table_iter_next(&i, NULL, &sender))
		send_stopping(t, sender);
	bb_adjacent_drain(t->adjacent);
}

static void handle_result(struct bb_traffic *t, uint32_t host,
			  const struct bb_message_result *r)
{
	/* Before the result, so that a retry goes to another host. */
	if (r->reason == BB_REASON_STOPPING)
		bb_entry_host_stopping(t->entry, host);
	if (r->id.sequence)
		bb_entry_result(t->entry, r);
}

static void handle_welcome(struct bb_traffic *t, uint32_t host,
			   const struct bb_message_welcome *w)
{
	const struct bb_config *c = t->snapshot->config;
	struct bb_session *s;

	if (host >= c->hosts_nr)
		return;
	s = bb_sessions_find(t->sessions, c->hosts[host].name);
	if (!bb_session_welcome(s, w, bb_clock_now_us()))
		return;
	bb_entry_reports(t->entry, host, w->incarnation, w->receiver_clock_us,
			 w->reports, w->reports_nr);
	bb_entry_welcome(t->entry, host);
}

static void on_message(void *data, struct bb_received_message *r)
{
	struct bb_traffic *t = data;
	const struct bb_message *m = bb_received_message_get(r);
	struct bb_reply_address to = { .sender =
					       *bb_received_message_sender(r) };

	switch (m->type) {
	case BB_MESSAGE_EXECUTE:
		count_as_listener(t, &to.sender);
		/* Takes ownership of the message. */
		bb_adjacent_execute(t->adjacent, &to, r, &m->execute);
		return;
	case BB_MESSAGE_EXECUTE_LARGE:
		count_as_listener(t, &to.sender);
		bb_adjacent_execute_large(t->adjacent, &to, r,
					  &m->execute_large);
		return;
	case BB_MESSAGE_BODY_PART:
		bb_adjacent_body_part(t->adjacent, &to.sender, &m->body_part);
		break;
	case BB_MESSAGE_BODY_READ:
		if (!to.sender.is_request)
			bb_entry_body_read(t->entry, to.sender.host,
					   &m->body_read);
		break;
	case BB_MESSAGE_CANCEL:
		bb_adjacent_cancel(t->adjacent, &to, &m->cancel);
		break;
	case BB_MESSAGE_RESULT:
		handle_result(t, to.sender.host, &m->result);
		break;
	case BB_MESSAGE_HELLO:
		handle_hello(t, &to.sender, &m->hello);
		break;
	case BB_MESSAGE_WELCOME:
		handle_welcome(t, to.sender.host, &m->welcome);
		break;
	case BB_MESSAGE_BACKEND_REPORTS:
		bb_entry_reports(t->entry, to.sender.host,
				 m->backend_reports.incarnation,
				 m->backend_reports.clock_us,
				 m->backend_reports.reports,
				 m->backend_reports.reports_nr);
		break;
	default:
		bb_metrics_add(BB_METRIC_PEER_MESSAGES_BAD, 1);
		break;
	}
	bb_received_message_delete(r);
}

static void configure(struct bb_traffic *t, struct bb_snapshot *snapshot)
{
	struct bb_error err;

	if (bb_endpoint_configure(t->endpoint, snapshot->config, false, &err))
		bb_log_warning(
			BB_LOG_TRAFFIC,
			"cannot update peers to the new configuration: %s",
			err.message);
	bb_adjacent_configure(t->adjacent, snapshot);
	bb_entry_configure(t->entry, snapshot);
	bb_report_sender_set_rate(t->reports,
				  snapshot->config->policies.report_bytes_per_s,
				  bb_clock_now_us());
	bb_report_sender_configure(t->reports, snapshot->config);
	bb_snapshot_put(t->snapshot);
	t->snapshot = snapshot;
}

static void free_health(struct bb_backend_health *h)
{
	g_free(h->backend);
	g_free(h);
}

static void on_command(void *data, void *entry)
{
	struct bb_traffic *t = data;
	struct command *c = entry;

	switch (c->type) {
	case COMMAND_CONFIGURE:
		configure(t, c->snapshot);
		break;
	case COMMAND_TOKENS_ARRIVED:
		ck_pr_store_uint(&t->tokens_pending, 0);
		bb_entry_tokens_arrived(t->entry);
		break;
	case COMMAND_RECORD_ANSWERED:
		bb_entry_record_answered(t->entry, c->query);
		break;
	case COMMAND_HEALTH_CHANGED:
		bb_adjacent_health_changed(t->adjacent, c->health);
		free_health(c->health);
		break;
	case COMMAND_LEAVING_CHANGED:
		bb_adjacent_set_leaving(t->adjacent,
					g_hash_table_contains(c->hosts,
							      t->o.host));
		bb_entry_set_leaving(t->entry, c->hosts);
		break;
	case COMMAND_DRAIN:
		drain(t);
		break;
	case COMMAND_ABORT:
		bb_entry_abort(t->entry);
		break;
	case COMMAND_QUIT:
		g_main_loop_quit(t->loop);
		break;
	}
	g_free(c);
}

static void publish_in_progress(struct bb_traffic *t)
{
	ck_pr_store_uint(&t->in_progress,
			 bb_entry_calls(t->entry) +
				 bb_adjacent_jobs(t->adjacent));
}

static void on_call(void *data, void *entry)
{
	struct bb_traffic *t = data;

	bb_entry_submit(t->entry, entry);
}

static gboolean on_housekeeping(gpointer data)
{
	struct bb_traffic *t = data;

	publish_in_progress(t);
	send_reports(t);
	bb_entry_tick(t->entry, bb_clock_now_us());
	bb_body_memory_tick(t->o.memory, bb_clock_now_us());
	bb_transport_close_idle(bb_endpoint_transport(t->endpoint),
				bb_clock_now_us(), PEER_IDLE_MAX_US);
	return G_SOURCE_CONTINUE;
}

static void call_finished(void *data, struct bb_call *c)
{
	struct bb_traffic *t = data;

	t->o.finished(t->o.data, c);
}

static void *run_thread(void *data)
{
	struct bb_traffic *t = data;

	g_main_context_push_thread_default(t->context);
	bb_rounds_begin(BB_THREAD_TRAFFIC);
	g_main_loop_run(t->loop);
	g_main_context_pop_thread_default(t->context);
	return NULL;
}

static int create_components(struct bb_traffic *t, struct bb_error *err)
{
	const struct bb_settings *s = t->o.settings;
	struct bb_transport_options to = {
		.address = t->o.address,
		.port = t->o.port,
		.name = t->o.host,
		.curve_secret_key = t->o.settings->curve_secret,
		.bytes_in_metric = BB_METRIC_PEER_BYTES_IN,
		.bytes_out_metric = BB_METRIC_PEER_BYTES_OUT,
		.keep_removed = true,
		.memory = t->o.memory,
	};
	struct bb_adjacent_options ao = {
		.context = t->context,
		.incarnation = t->o.incarnation,
		.control = t->o.control,
		.reply = send_reply,
		.state_changed = on_state_changed,
		.data = t,
		.tracer = t->o.tracer,
		.dialect = t->o.dialect,
		.breaker = s->breaker,
		.memory = t->o.memory,
		.booking_wait_us = s->booking_wait_ms * BB_US_PER_MS,
		.attempt_percent = s->attempt_percent,
	};
	struct bb_entry_options eo = {
		.context = t->context,
		.incarnation = t->o.incarnation,
		.control = t->o.control,
		.tracer = t->o.tracer,
		.dialect = t->o.dialect,
		.send = send_message,
		.is_connected = is_connected,
		.retry_percent = s->retry_percent,
		.retry_slack = s->retry_slack,
		.retry_window_us = s->retry_window_ms * BB_US_PER_MS,
		.subset = s->subset,
		.slot_searches = s->slot_searches,
		.local_percent = s->local_percent,
		.report_stale_us = s->report_stale_ms * BB_US_PER_MS,
		.path_check_us = s->path_check_ms * BB_US_PER_MS,
		.keep_path_floor = s->path_floor,
		.use_reserve = s->reserve,
		.draw_wait_us = s->draw_wait_ms * BB_US_PER_MS,
		.attempt_percent = s->attempt_percent,
		.finished = call_finished,
		.data = t,
	};

	t->calls = bb_mailbox_new(CALLS_MAX, err);
	t->commands = bb_mailbox_new(COMMANDS_MAX, err);
	if (!t->calls || !t->commands)
		return -1;
	t->endpoint = bb_endpoint_new(&to, t->context, on_message, t, err);
	if (!t->endpoint)
		return -1;
	t->sessions = bb_sessions_new();
	t->notices = bb_notices_new();
	t->reports = bb_report_sender_new();
	ao.notices = t->notices;
	t->adjacent = bb_adjacent_new(&ao, err);
	if (!t->adjacent)
		return -1;
	eo.adjacent = t->adjacent;
	eo.sessions = t->sessions;
	eo.notices = t->notices;
	t->entry = bb_entry_new(&eo);
	bb_mailbox_attach(t->calls, t->context, on_call, t);
	bb_mailbox_attach(t->commands, t->context, on_command, t);
	t->housekeeping = bb_loop_add_timeout(
		t->context, HOUSEKEEPING_INTERVAL_US, on_housekeeping, t);
	return 0;
}

static void free_components(struct bb_traffic *t)
{
	bb_loop_remove(&t->housekeeping);
	g_hash_table_destroy(t->hello_senders);
	bb_entry_delete(t->entry);
	bb_adjacent_delete(t->adjacent);
	bb_sessions_delete(t->sessions);
	bb_notices_delete(t->notices);
	bb_report_sender_delete(t->reports);
	bb_endpoint_delete(t->endpoint);
	bb_mailbox_delete(t->calls);
	bb_mailbox_delete(t->commands);
	bb_snapshot_put(t->snapshot);
	g_main_loop_unref(t->loop);
	g_main_context_unref(t->context);
	g_free(t);
}

struct bb_traffic *bb_traffic_new(const struct bb_traffic_options *o,
				  struct bb_snapshot *snapshot,
				  struct bb_error *err)
{
	struct bb_traffic *t = g_new0(struct bb_traffic, 1);

	t->o = *o;
	t->context = bb_loop_new();
	t->loop = g_main_loop_new(t->context, FALSE);
	t->hello_senders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (create_components(t, err)) {
		free_components(t);
		return NULL;
	}
	configure(t, bb_snapshot_ref(snapshot));
	if (pthread_create(&t->thread, NULL, run_thread, t)) {
		bb_error_set(err, BB_ERROR_IO, "cannot start traffic thread");
		free_components(t);
		return NULL;
	}
	return t;
}

bool bb_traffic_submit(struct bb_traffic *t, struct bb_call *c)
{
	return bb_mailbox_push(t->calls, c);
}

static struct command *new_command(enum command_type type)
{
	struct command *c = g_new0(struct command, 1);

	c->type = type;
	return c;
}

static void push_command(struct bb_traffic *t, struct command *c)
{
	while (!bb_mailbox_push(t->commands, c))
		g_usleep(1000);
}

void bb_traffic_configure(struct bb_traffic *t, struct bb_snapshot *snapshot)
{
	struct command *c = new_command(COMMAND_CONFIGURE);

	c->snapshot = bb_snapshot_ref(snapshot);
	push_command(t, c);
}

void bb_traffic_tokens_arrived(struct bb_traffic *t)
{
	/* One command handles all tokens that arrive before it runs. */
	if (!ck_pr_fas_uint(&t->tokens_pending, 1))
		push_command(t, new_command(COMMAND_TOKENS_ARRIVED));
}

void bb_traffic_record_answered(struct bb_traffic *t, struct bb_record_query *q)
{
	struct command *c = new_command(COMMAND_RECORD_ANSWERED);

	c->query = q;
	push_command(t, c);
}

void bb_traffic_health_changed(struct bb_traffic *t,
			       struct bb_backend_health *h)
{
	struct command *c = new_command(COMMAND_HEALTH_CHANGED);

	c->health = h;
	push_command(t, c);
}

void bb_traffic_leaving_changed(struct bb_traffic *t, GHashTable *hosts)
{
	struct command *c = new_command(COMMAND_LEAVING_CHANGED);

	c->hosts = hosts;
	push_command(t, c);
}

void bb_traffic_drain(struct bb_traffic *t)
{
	push_command(t, new_command(COMMAND_DRAIN));
}

void bb_traffic_abort(struct bb_traffic *t)
{
	push_command(t, new_command(COMMAND_ABORT));
}

unsigned int bb_traffic_in_progress(const struct bb_traffic *t)
{
	return ck_pr_load_uint(&t->in_progress);
}

void bb_traffic_delete(struct bb_traffic *t)
{
	if (!t)
		return;
	push_command(t, new_command(COMMAND_QUIT));
	pthread_join(t->thread, NULL);
	bb_mailbox_drain(t->calls);
	free_components(t);
}
