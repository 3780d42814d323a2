/*
 * Start and shutdown of a node. The node opens its port for callers only when a
 * configuration is in force, and its shutdown answers the open requests.
 */
#include "baobabward/node.h"

#include <assert.h>
#include <ck_pr.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "baobabward/clock.h"
#include "baobabward/log.h"
#include "baobabward/metrics.h"
#include "baobabward/rounds.h"
#include "baobabward/trace.h"
#include "libnode/admin.h"
#include "libnode/control.h"
#include "libnode/explain.h"
#include "libnode/front.h"
#include "libnode/loop.h"
#include "libnode/signals.h"
#include "libnode/snapshot.h"
#include "libnode/traffic.h"

const char *const bb_node_state_string[] = { "new", "running", "draining",
					     "stopped" };

static_assert(sizeof(bb_node_state_string) / sizeof(*bb_node_state_string) ==
		      BB_NODE_STATE_COUNT,
	      "bb_node_state_string must have one string for each state");

/* Number of refused and of failed requests that operators can look up. */
#define HISTORY_SIZE 256u
/*
 * Maximum wait for a configuration that is known to be current before the port
 * for callers is opened.
 */
#define CONFIG_WAIT_MAX_US (10 * BB_US_PER_S)
/* Polling period while waiting for the start or the end of service. */
#define POLL_US (20 * BB_US_PER_MS)
/* Interval of looking for connections whose callers are gone. */
#define CALLERS_INTERVAL_US (1 * BB_US_PER_S)
/*
 * Minimum time for which a draining node waits for requests on connections
 * that are still open, because a caller may have sent one before it sees the
 * close.
 */
#define DRAIN_LINGER_US (2 * BB_US_PER_S)
/*
 * Percentage of the grace period after which such requests are refused. A
 * caller with many open connections may send one on each of them, and the last
 * ones would be interrupted at the end of the grace period.
 */
#define DRAIN_REFUSE_PERCENT 50
/*
 * While callers keep a draining node from ending, its backend servers go on
 * getting requests, for this time and part of the grace period: without a node
 * beside them they get none until it has started again.
 */
#define DRAIN_SERVE_PEERS_US (1 * BB_US_PER_S)
#define DRAIN_SERVE_PEERS_PERCENT 20
/*
 * Minimum time from the notice of the stop to other nodes to the end. Requests
 * that they sent before it reached them still arrive and are refused as "not
 * run". If the process had ended by then, their outcome would be unknown.
 */
#define DRAIN_MIN_US (200 * BB_US_PER_MS)

/**
 * struct bb_node - a node; used on the control thread unless noted.
 * @settings: owned by the caller
 * @dialect: names of headers, NULL for the default
 * @feed: source of the configuration if its functions are set
 * @incarnation: random number that tells this process from earlier ones
 * @state: enum bb_node_state; atomic
 * @snapshots: configuration in force, or the candidate before there is one
 * @front: front end for callers, NULL until it is opened
 * @control: modules of the control thread
 * @traffic: modules of the traffic thread, NULL until a configuration is in
 *           force
 * @tracer: sends traces, or NULL
 * @memory: accounting of the memory of bodies
 * @history: last refused and failed requests
 * @admin: operator listener
 * @context: main context of the control thread
 * @loop: main loop of the control thread
 * @start_timer: starts the control modules after the first configuration
 * @callers_timer: looks for connections whose callers are gone
 * @open_timer: checks whether the front can be opened
 * @started_us: time when the traffic thread was started
 * @drain_timer: checks whether the drain is complete
 * @signals: SIGTERM, SIGINT and SIGHUP, while the loop runs
 * @drain_started_us: time when the drain began
 * @peers_told_us: time when other nodes were told of the stop, 0 before
 * @start_scheduled: @start_timer was set once
 * @interrupted: the shutdown was cut short
 * @backlog: the drain accepted connections that waited in the backlog
 * @failed: the start failed
 * @error: reason of the failure
 */
struct bb_node {
	const struct bb_settings *settings;
	const struct bb_dialect *dialect;
	struct bb_feed feed;
	uint64_t incarnation;
	unsigned int state;
	struct bb_snapshots *snapshots;
	struct bb_front *front;
	struct bb_control *control;
	struct bb_traffic *traffic;
	struct bb_tracer *tracer;
	struct bb_body_memory *memory;
	struct bb_request_history *history;
	struct bb_admin *admin;
	GMainContext *context;
	GMainLoop *loop;
	GSource *start_timer;
	GSource *callers_timer;
	GSource *open_timer;
	int64_t started_us;
	GSource *drain_timer;
	struct bb_signals *signals;
	int64_t drain_started_us;
	int64_t peers_told_us;
	bool start_scheduled;
	bool interrupted;
	bool backlog;
	bool failed;
	struct bb_error error;
};

static unsigned int state(const struct bb_node *n)
{
	return ck_pr_load_uint(&n->state);
}

static bool config_is_current(void *data)
{
	const struct bb_node *n = data;

	return bb_control_config_current(n->control);
}

static bool submit(void *data, struct bb_call *c)
{
	struct bb_node *n = data;

	return state(n) != BB_NODE_STOPPED && bb_traffic_submit(n->traffic, c);
}

static void call_finished(void *data, struct bb_call *c)
{
	(void)data;
	MHD_resume_connection(c->connection);
}

static bool is_ready(void *data, const char **why)
{
	struct bb_node *n = data;

	if (!bb_control_config_in_force(n->control))
		*why = "no configuration is in force yet";
	else if (state(n) != BB_NODE_RUNNING)
		*why = bb_node_state_string[state(n)];
	else if (!config_is_current(n))
		*why = "configuration is not known to be current";
	else
		return true;
	return false;
}

/* Rows that the status lists at most; the log has all. */
#define REFUSED_ROWS_MAX 16

static json_t *refused_rows(const struct bb_config *c)
{
	json_t *rows = json_array();

	for (size_t i = 0; c && i < MIN(c->refusals_nr, REFUSED_ROWS_MAX); i++)
		json_array_append_new(rows, json_string(c->refusals[i]));
	return rows;
}

static char *status_document(struct bb_node *n)
{
	struct bb_snapshot *s = bb_snapshots_get(n->snapshots);
	char *control = bb_control_status(n->control);
	bool in_force = bb_control_config_in_force(n->control);
	json_int_t version = s ? (json_int_t)s->config->version : 0;
	char incarnation[24];
	json_t *o, *more;
	char *text;

	g_snprintf(incarnation, sizeof(incarnation),
		   "%016" G_GINT64_MODIFIER "x", n->incarnation);
	o = json_pack("{s:s, s:s, s:s, s:I, s:I, s:o, s:b, s:i}", "host",
		      n->settings->host, "incarnation", incarnation, "state",
		      bb_node_state_string[state(n)], "config_version",
		      in_force ? version : 0, "candidate_version",
		      in_force ? 0 : version, "refused_rows",
		      refused_rows(s ? s->config : NULL), "automation",
		      s ? s->config->automation : 0, "busy",
		      n->traffic ? (int)bb_traffic_in_progress(n->traffic) : 0);
	more = json_loads(control, 0, NULL);
	json_object_update(o, more);
	json_decref(more);
	free(control);
	bb_snapshot_put(s);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

static char *explain_document(struct bb_node *n, const char *key,
			      const char *value)
{
	struct bb_snapshot *s = bb_snapshots_get(n->snapshots);
	char *text = bb_explain(s, n->history, key, value);

	bb_snapshot_put(s);
	return text;
}

static char *document(void *data, const char *path, const char *key,
		      const char *value)
{
	struct bb_node *n = data;

	if (!strcmp(path, "/status"))
		return status_document(n);
	if (!strcmp(path, "/settings"))
		return bb_settings_json(n->settings);
	if (!strcmp(path, "/explain"))
		return explain_document(n, key, value);
	return NULL;
}

/* Memory that this process may use: that of the machine, or less in a control
 * group; 0 if it is not known. */
static uint64_t machine_memory(void)
{
	long pages = sysconf(_SC_PHYS_PAGES), size = sysconf(_SC_PAGESIZE);
	uint64_t bytes =
		pages > 0 && size > 0 ? (uint64_t)pages * (uint64_t)size : 0;
	guint64 limit = 0;
	char *text;

	/* "max" stands for none. */
	if (!g_file_get_contents("/sys/fs/cgroup/memory.max", &text, NULL,
				 NULL))
		return bytes;
	g_ascii_string_to_unsigned(g_strchomp(text), 10, 1, G_MAXUINT64, &limit,
				   NULL);
	g_free(text);
	return limit && (!bytes || limit < bytes) ? limit : bytes;
}

static struct bb_body_memory *new_memory(const struct bb_settings *s)
{
	struct bb_body_memory_options o = {
		.limit = (uint64_t)s->body_memory_mb << 20,
		.stall_us = s->body_stall_ms * BB_US_PER_MS,
		.give_way = bb_front_give_way,
		.has_input = bb_front_has_input,
		.stalled = bb_front_stalled,
	};

	if (!o.limit)
		o.limit = bb_body_default_limit(machine_memory());
	bb_log_info(
		BB_LOG_MAIN,
		"bodies of requests and responses may take %" G_GUINT64_FORMAT
		" MiB",
		o.limit >> 20);
	return bb_body_memory_new(&o);
}

struct bb_node *bb_node_new(const struct bb_settings *settings)
{
	struct bb_node *n = g_new0(struct bb_node, 1);

	n->settings = settings;
	n->memory = new_memory(settings);
	n->snapshots = bb_snapshots_new(settings->host);
	n->history = bb_request_history_new(HISTORY_SIZE);
	n->context = bb_loop_new();
	n->loop = g_main_loop_new(n->context, FALSE);
	return n;
}

void bb_node_set_dialect(struct bb_node *n, const struct bb_dialect *d)
{
	n->dialect = d;
}

void bb_node_set_feed(struct bb_node *n, const struct bb_feed *f)
{
	n->feed = *f;
}

static int start_traffic(struct bb_node *n, struct bb_snapshot *s,
			 struct bb_error *err)
{
	const struct bb_settings *o = n->settings;
	struct bb_traffic_options to = {
		.incarnation = n->incarnation,
		.host = o->host,
		.settings = o,
		.dialect = n->dialect,
		.control = n->control,
		.tracer = n->tracer,
		.memory = n->memory,
		.finished = call_finished,
		.data = n,
	};
	const struct bb_host *self = &s->config->hosts[s->self];

	to.address = o->bind_address ? o->bind_address : self->address;
	to.port = self->data_port;
	n->traffic = bb_traffic_new(&to, s, err);
	return n->traffic ? 0 : -1;
}

static int start_tracer(struct bb_node *n, struct bb_error *err)
{
	struct bb_tracer_options o = {
		.url = n->settings->trace_url,
		.host = n->settings->host,
		.ratio = n->settings->trace_ratio,
	};

	if (!o.url)
		return 0;
	n->tracer = bb_tracer_new(&o, err);
	return n->tracer ? 0 : -1;
}

static int start_front(struct bb_node *n, struct bb_error *err)
{
	const struct bb_settings *o = n->settings;
	struct bb_front_options fo = {
		.address = o->listen,
		.port = (uint16_t)o->port,
		.threads = o->front_threads,
		.connection_limit = o->connection_limit,
		.memory = n->memory,
		.idle_timeout_s = o->idle_timeout_s,
		.dialect = n->dialect,
		.local_service = o->local_service,
		.incarnation = n->incarnation,
		.snapshots = n->snapshots,
		.history = n->history,
		.config_current = config_is_current,
		.submit = submit,
		.data = n,
	};

	n->front = bb_front_new(&fo);
	return bb_front_init(n->front, err);
}

static int start_admin(struct bb_node *n, struct bb_error *err)
{
	struct bb_admin_options ao = {
		.address = n->settings->admin_listen,
		.port = (uint16_t)n->settings->admin_port,
		.ready_path = n->settings->ready_path,
		.ready = is_ready,
		.document = document,
		.data = n,
	};

	n->admin = bb_admin_new(&ao, err);
	return n->admin ? 0 : -1;
}

static void fail(struct bb_node *n)
{
	n->failed = true;
	g_main_loop_quit(n->loop);
}

static int open_front(struct bb_node *n, struct bb_error *err);

/*
 * Opens the port for callers when the configuration is known to be current, so
 * that a restarted node does not refuse their first requests. After
 * CONFIG_WAIT_MAX_US the port is opened in any case, so that callers get a
 * refusal with the reason.
 */
static gboolean on_open_timer(gpointer data)
{
	struct bb_node *n = data;

	if (!config_is_current(n) &&
	    bb_clock_now_us() - n->started_us < CONFIG_WAIT_MAX_US)
		return G_SOURCE_CONTINUE;
	bb_loop_remove(&n->open_timer);
	if (open_front(n, &n->error))
		fail(n);
	return G_SOURCE_REMOVE;
}

static int check_listed(const struct bb_node *n, const struct bb_snapshot *s,
			struct bb_error *err)
{
	if (s->self != BB_NO_ROW)
		return 0;
	return bb_error_set(err, BB_ERROR_NOT_FOUND,
			    "host \"%s\" is not in the configuration",
			    n->settings->host);
}

/* Called when the first configuration is in force. */
static int start_serving(struct bb_node *n, struct bb_snapshot *s,
			 struct bb_error *err)
{
	if (check_listed(n, s, err) || start_traffic(n, s, err))
		return -1;
	n->started_us = bb_clock_now_us();
	n->open_timer =
		bb_loop_add_timeout(n->context, POLL_US, on_open_timer, n);
	return 0;
}

static gboolean on_callers_timer(gpointer data)
{
	struct bb_node *n = data;

	bb_front_check_callers(n->front);
	return G_SOURCE_CONTINUE;
}

static int open_front(struct bb_node *n, struct bb_error *err)
{
	if (start_front(n, err))
		return -1;
	n->callers_timer = bb_loop_add_timeout(n->context, CALLERS_INTERVAL_US,
					       on_callers_timer, n);
	ck_pr_store_uint(&n->state, BB_NODE_RUNNING);
	bb_log_info(BB_LOG_MAIN, "accepting callers on %s port %u",
		    n->settings->listen, bb_front_port(n->front));
	return 0;
}

static gboolean on_start_timer(gpointer data)
{
	struct bb_node *n = data;
	struct bb_snapshot *s = bb_snapshots_get(n->snapshots);

	bb_loop_remove(&n->start_timer);
	if (s && (check_listed(n, s, &n->error) ||
		  bb_control_start(n->control, &n->error)))
		fail(n);
	bb_snapshot_put(s);
	return G_SOURCE_REMOVE;
}

static void on_config_in_force(void *data)
{
	struct bb_node *n = data;
	struct bb_snapshot *s = bb_snapshots_get(n->snapshots);

	if (start_serving(n, s, &n->error))
		fail(n);
	bb_snapshot_put(s);
}

static void on_config_changed(void *data, struct bb_snapshot *snapshot)
{
	struct bb_node *n = data;

	if (n->traffic)
		bb_traffic_configure(n->traffic, snapshot);
	else if (!n->start_scheduled)
		n->start_timer =
			bb_loop_add_timeout(n->context, 0, on_start_timer, n);
	n->start_scheduled = true;
}

static void on_tokens_arrived(void *data)
{
	struct bb_node *n = data;

	if (n->traffic)
		bb_traffic_tokens_arrived(n->traffic);
}

static void on_record_answered(void *data, struct bb_record_query *q)
{
	struct bb_node *n = data;

	bb_traffic_record_answered(n->traffic, q);
}

static void on_health_changed(void *data, struct bb_backend_health *g)
{
	struct bb_node *n = data;

	bb_traffic_health_changed(n->traffic, g);
}

static void on_leaving_changed(void *data, GHashTable *hosts)
{
	struct bb_node *n = data;

	if (n->traffic)
		bb_traffic_leaving_changed(n->traffic, hosts);
	else
		g_hash_table_unref(hosts);
}

int bb_node_init(struct bb_node *n, struct bb_error *err)
{
	struct bb_control_options co = {
		.settings = n->settings,
		.feed = n->feed.start ? &n->feed : NULL,
		.context = n->context,
		.snapshots = n->snapshots,
		.config_changed = on_config_changed,
		.config_in_force = on_config_in_force,
		.tokens_arrived = on_tokens_arrived,
		.record_answered = on_record_answered,
		.health_changed = on_health_changed,
		.leaving_changed = on_leaving_changed,
		.data = n,
	};

	if (n->control)
		return bb_error_set(err, BB_ERROR_STATE,
				    "node is already initialized");
	if (sodium_init() < 0)
		return bb_error_set(err, BB_ERROR_IO,
				    "cannot initialize libsodium");
	randombytes_buf(&n->incarnation, sizeof(n->incarnation));
	co.incarnation = n->incarnation;
	n->control = bb_control_new(&co, err);
	if (!n->control)
		return -1;
	if (start_tracer(n, err))
		return -1;
	return start_admin(n, err);
}

/* Ends the service for other nodes once the drain has lasted long enough, or no
 * caller delays the end. */
static void drain_peers(struct bb_node *n, int64_t now_us)
{
	int64_t serve_us = MIN(DRAIN_SERVE_PEERS_US,
			       n->settings->grace_ms * BB_US_PER_MS *
				       DRAIN_SERVE_PEERS_PERCENT / 100);

	if (n->peers_told_us || (bb_front_connections(n->front) &&
				 now_us - n->drain_started_us < serve_us))
		return;
	n->peers_told_us = now_us;
	bb_traffic_drain(n->traffic);
}

static bool drain_is_complete(struct bb_node *n, int64_t now_us)
{
	if (!n->peers_told_us || now_us - n->peers_told_us < DRAIN_MIN_US ||
	    (n->backlog && now_us - n->drain_started_us < DRAIN_LINGER_US))
		return false;
	if (bb_front_requests(n->front) || bb_traffic_in_progress(n->traffic))
		return false;
	if (bb_front_connections(n->front) &&
	    now_us - n->drain_started_us < DRAIN_LINGER_US)
		return false;
	/* Leases are returned last, because open requests need their tokens. */
	bb_control_stop(n->control);
	return bb_control_stopped(n->control);
}

static gboolean on_drain_poll(gpointer data)
{
	struct bb_node *n = data;
	int64_t now_us = bb_clock_now_us();
	int64_t grace_us = n->settings->grace_ms * BB_US_PER_MS;

	drain_peers(n, now_us);
	if (drain_is_complete(n, now_us)) {
		g_main_loop_quit(n->loop);
		return G_SOURCE_CONTINUE;
	}
	if (now_us - n->drain_started_us >=
	    grace_us * DRAIN_REFUSE_PERCENT / 100)
		bb_front_refuse_requests(n->front);
	if (now_us - n->drain_started_us < grace_us)
		return G_SOURCE_CONTINUE;
	bb_log_warning(BB_LOG_MAIN,
		       "grace period is over; aborting and answering %u "
		       "requests of callers, %u calls and requests to backend "
		       "servers",
		       bb_front_requests(n->front),
		       bb_traffic_in_progress(n->traffic));
	n->interrupted = true;
	g_main_loop_quit(n->loop);
	return G_SOURCE_CONTINUE;
}

static void drain(struct bb_node *n)
{
	bb_log_info(BB_LOG_MAIN,
		    "draining: accepting no new connections, completing open "
		    "requests");
	n->drain_started_us = bb_clock_now_us();
	ck_pr_store_uint(&n->state, BB_NODE_DRAINING);
	n->backlog = bb_front_drain(n->front);
	drain_peers(n, n->drain_started_us);
	n->drain_timer =
		bb_loop_add_timeout(n->context, POLL_US, on_drain_poll, n);
}

static void stop(struct bb_node *n)
{
	if (state(n) == BB_NODE_NEW) {
		g_main_loop_quit(n->loop);
		return;
	}
	if (state(n) == BB_NODE_RUNNING) {
		drain(n);
		return;
	}
	bb_log_warning(BB_LOG_MAIN,
		       "second signal during the shutdown; aborting and "
		       "answering open requests");
	n->interrupted = true;
	g_main_loop_quit(n->loop);
}

/*
 * Flags and environment variables are read at the start only. A feed watches
 * its settings file itself.
 */
static void on_signal(void *data, int number)
{
	if (number != SIGHUP) {
		stop(data);
		return;
	}
	bb_log_info(BB_LOG_MAIN,
		    "SIGHUP: flags and environment variables are read at the "
		    "start only; keeping the present values");
}

/* Maximum time to abort open requests and send their answers to callers. */
#define ABORT_MAX_US (500 * BB_US_PER_MS)

/*
 * Submits no more calls, and waits until the traffic thread has returned those
 * that it owns, because libmicrohttpd cannot stop while a connection is
 * suspended.
 */
static void finish_calls(struct bb_node *n)
{
	int64_t until_us = bb_clock_now_us() + ABORT_MAX_US;

	ck_pr_store_uint(&n->state, BB_NODE_STOPPED);
	while (bb_front_suspended(n->front) && bb_clock_now_us() < until_us) {
		bb_traffic_abort(n->traffic);
		g_usleep(POLL_US);
	}
	while (n->interrupted && bb_front_requests(n->front) &&
	       bb_clock_now_us() < until_us)
		g_usleep(POLL_US);
}

int bb_node_run(struct bb_node *n)
{
	n->signals = bb_signals_new(n->context, on_signal, n, &n->error);
	n->failed = !n->signals;
	bb_rounds_begin(BB_THREAD_CONTROL);
	if (!n->failed)
		g_main_loop_run(n->loop);
	if (n->failed)
		bb_log(BB_LOG_MAIN, G_LOG_LEVEL_CRITICAL, NULL,
		       "cannot start the node; exiting: %s", n->error.message);
	if (n->front && n->traffic)
		finish_calls(n);
	bb_log_info(BB_LOG_MAIN, "node stopped");
	return n->failed ? -1 : n->interrupted;
}

uint16_t bb_node_port(const struct bb_node *n)
{
	return bb_front_port(n->front);
}

void bb_node_delete(struct bb_node *n)
{
	if (!n)
		return;
	bb_loop_remove(&n->start_timer);
	bb_loop_remove(&n->open_timer);
	bb_loop_remove(&n->callers_timer);
	bb_loop_remove(&n->drain_timer);
	bb_signals_delete(n->signals);
	bb_admin_delete(n->admin);
	/* The threads of the front use the other modules until they stop. */
	bb_front_delete(n->front);
	bb_traffic_delete(n->traffic);
	bb_control_delete(n->control);
	bb_body_memory_delete(n->memory);
	bb_tracer_delete(n->tracer);
	bb_request_history_delete(n->history);
	bb_snapshots_delete(n->snapshots);
	g_main_loop_unref(n->loop);
	g_main_context_unref(n->context);
	g_free(n);
}
