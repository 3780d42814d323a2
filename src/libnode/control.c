#include <ck_pr.h>
#include <jansson.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include "baobabward/clock.h"
#include "baobabward/idempotency.h"
#include "baobabward/lease.h"
#include "baobabward/log.h"
#include "baobabward/member.h"
#include "baobabward/metrics.h"
#include "baobabward/permit.h"
#include "baobabward/relay.h"
#include "liblimit/preferred_holder.h"
#include "libnode/control_private.h"
#include "libnode/endpoint.h"
#include "libnode/host_list.h"
#include "libnode/loop.h"
#include "libnode/mailbox.h"
#include "libnode/outbox.h"
#include "libnode/health_monitor.h"

/* Capacities of the queues from other threads, in entries; powers of two. */
#define QUERIES_MAX 4096u
#define OBSERVATIONS_MAX 8192u
#define DRAW_WAKEUPS_MAX 64u
#define TICK_US (50 * BB_US_PER_MS)
/* Time that a stop waits at most for records and leases to be handed over. */
#define HANDOVER_TIMEOUT_US (1500 * BB_US_PER_MS)
#define STATUS_INTERVAL_US (250 * BB_US_PER_MS)
/*
 * The agreement on the automation switch counts as known for this time after
 * the tick that last saw it.
 */
#define AGREEMENT_FRESH_US (1 * BB_US_PER_S)
/*
 * Hosts in a digest when a feed delivers the configuration. Lease groups are
 * then held by rank among the live hosts, so nodes must agree on who is alive;
 * a digest has room for all hosts of a fleet of this size.
 */
#define FEED_DIGEST_ENTRIES 320
/*
 * Age of the agreement on the automation switch with a feed. A feed's reads are
 * linearizable, so the switch counts as agreed on for a long time.
 */
#define FEED_AGREED_US (3600 * BB_US_PER_S)
/*
 * Time after a change of the configuration at which memory that is free is given
 * back to the system, and the shortest time between two such. A new snapshot and
 * the closed connections of hosts that left leave free memory all over the heap.
 */
#define MEMORY_TRIM_DELAY_US (2 * BB_US_PER_S)
#define MEMORY_TRIM_INTERVAL_US (5 * BB_US_PER_S)
/* Longer than the time between two requests for a digest to one neighbour. */
#define IDLE_CONNECTION_US (15 * BB_US_PER_S)

/* Callbacks of the decision modules. */

void bb_control_send(void *data, uint32_t host, const struct bb_message *m)
{
	struct bb_control *c = data;

	/*
	 * A reply goes back on the connection that its request came in on. This
	 * node's own connection to a peer that has just restarted may not be up
	 * again yet.
	 */
	if (c->request_sender && c->request_sender->host == host &&
	    !bb_transport_reply(bb_endpoint_transport(c->endpoint),
				c->request_sender, m, NULL))
		return;
	bb_outbox_send(c->outbox, host, m);
}

static bool is_alive(void *data, uint32_t host, int64_t now_us)
{
	struct bb_control *c = data;

	if (host == c->snapshot->self)
		return !c->stop_began_us;
	return bb_member_alive(c->member, host, now_us);
}

/* Live hosts per thousand configured hosts. */
static uint32_t reachable_permille(void *data, int64_t now_us)
{
	const struct bb_control *c = data;
	size_t hosts = bb_control_config(c)->hosts_nr;
	size_t alive = 0;

	for (uint32_t i = 0; i < hosts; i++)
		alive += is_alive(data, i, now_us);
	return hosts ? (uint32_t)(1000 * alive / hosts) : 0;
}

static bool is_stopping(void *data, uint32_t host, int64_t now_us)
{
	const struct bb_control *c = data;

	(void)now_us;
	return bb_member_stopping(c->member, host);
}

static bool is_relay_alive(void *data, uint32_t host, int64_t now_us)
{
	return is_alive(data, host, now_us) && !is_stopping(data, host, now_us);
}

static bool may_lend(void *data, int64_t now_us)
{
	struct bb_control *c = data;

	return !c->stop_began_us && bb_member_has_quorum(c->member, now_us) &&
	       bb_member_highest_version(c->member) ==
		       bb_control_config(c)->version;
}

static bool quorum_accepted(void *data, uint64_t version)
{
	struct bb_control *c = data;

	return bb_member_quorum_accepted(c->member, version);
}

static uint32_t seats_held(void *data, uint32_t group, int64_t now_us)
{
	struct bb_control *c = data;

	return bb_holder_seats(c->holder, group, now_us);
}

static uint32_t seats_held_since(void *data, uint32_t group, int64_t since_us,
				 int64_t now_us)
{
	struct bb_control *c = data;

	return bb_holder_seats_since(c->holder, group, since_us, now_us);
}

static uint32_t service_group(void *data, const char *service,
			      uint32_t *committee)
{
	struct bb_control *c = data;

	*committee = bb_lease_map_seats(c->map);
	return bb_lease_group(service, strlen(service));
}

/*
 * The holder of the seats of even rank has the majority, so it is asked first,
 * then the holder of the odd ranks.
 */
uint32_t bb_control_likely_holder(void *data, uint32_t group,
				  unsigned int attempt)
{
	struct bb_control *c = data;
	int64_t now_us = bb_clock_now_us();
	uint32_t host = bb_nth_live_seat(c->map, group, attempt % 2,
					 attempt / 2, is_alive, c, now_us);

	if (host != BB_NO_ROW)
		return host;
	return bb_nth_live_seat(c->map, group, 0, 0, is_alive, c, now_us);
}

static int64_t automation_agreed_us(void *data, int64_t now_us)
{
	struct bb_control *c = data;

	if (c->o.feed)
		return FEED_AGREED_US;
	if (!c->automation_agreed_since_us ||
	    now_us - c->automation_agreed_at_us > BB_PERMIT_AGREEMENT_GAP_US)
		return -1;
	return now_us - c->automation_agreed_since_us;
}

static int64_t automation_agreement_unknown_us(void *data, int64_t now_us)
{
	struct bb_control *c = data;
	int64_t age_us = now_us - c->automation_agreed_at_us;

	if (c->o.feed)
		return 0;
	return c->automation_agreed && age_us <= AGREEMENT_FRESH_US ? 0 :
								      age_us;
}

static void connect_peer(void *data, uint32_t host)
{
	struct bb_control *c = data;

	if (host != c->snapshot->self)
		bb_transport_connect(bb_endpoint_transport(c->endpoint), host,
				     NULL);
}

/* Receipt of messages. */

void bb_control_publish_current(struct bb_control *c)
{
	int64_t until_us = c->snapshot->self == BB_NO_ROW ?
				   INT64_MIN :
				   bb_member_current_until_us(c->member);

	if (c->o.settings->serve_stale && c->config_in_force)
		until_us = INT64_MAX;

	ck_pr_store_64((uint64_t *)&c->current_until_us, (uint64_t)until_us);
}

/* Before a configuration is in force, only digests and pages are handled. */
static bool is_premature(const struct bb_control *c, const struct bb_message *m)
{
	return !c->config_in_force && m->type != BB_MESSAGE_PAGE_REQUEST &&
	       m->type != BB_MESSAGE_PAGE;
}

static void dispatch(struct bb_control *c, uint32_t host,
		     const struct bb_message *m)
{
	int64_t now_us = bb_clock_now_us();

	if (is_premature(c, m))
		return;
	switch (m->type) {
	case BB_MESSAGE_PAGE_REQUEST:
		bb_control_serve_page(c, host, &m->page_request);
		break;
	case BB_MESSAGE_PAGE:
		bb_control_receive_page(c, host, &m->page);
		break;
	case BB_MESSAGE_LEASE_REQUEST:
	case BB_MESSAGE_LEASE_RELEASE:
		bb_lender_receive(c->lender, host, m, now_us);
		break;
	case BB_MESSAGE_LEASE_GRANT:
		bb_holder_receive(c->holder, host, m, now_us);
		break;
	case BB_MESSAGE_DRAW:
		bb_grantor_receive(c->grantor, host, m, now_us);
		break;
	case BB_MESSAGE_DRAW_GRANT:
		bb_drawer_receive(c->drawer, host, m, now_us);
		c->o.tokens_arrived(c->o.data);
		break;
	case BB_MESSAGE_PERMIT_REQUEST:
	case BB_MESSAGE_PERMIT_GRANT:
		bb_permits_receive(c->permits, host, m, now_us);
		break;
	case BB_MESSAGE_RECORD:
	case BB_MESSAGE_RECORD_TRANSFER:
		bb_records_receive(c->records, host, m, now_us);
		break;
	case BB_MESSAGE_SUMMARY_REQUEST:
	case BB_MESSAGE_SUMMARY:
		bb_health_monitor_receive(c->health_monitor, host, m, now_us);
		break;
	case BB_MESSAGE_REGISTRY_READ:
	case BB_MESSAGE_REGISTRY_CHANGES:
		if (c->relay)
			bb_relay_receive(c->relay, host, m, now_us);
		break;
	case BB_MESSAGE_RECORD_REPLY:
		bb_control_receive_record_reply(c, &m->record_reply);
		break;
	default:
		bb_metrics_add(BB_METRIC_PEER_MESSAGES_BAD, 1);
		break;
	}
}

static void on_own_message(void *data, const struct bb_message *m)
{
	struct bb_control *c = data;

	dispatch(c, c->snapshot->self, m);
}

static void on_message(void *data, struct bb_received_message *r)
{
	struct bb_control *c = data;
	const struct bb_message *m = bb_received_message_get(r);
	const struct bb_sender *s = bb_received_message_sender(r);
	const struct bb_message *reply;

	if (m->type == BB_MESSAGE_DIGEST_REQUEST ||
	    m->type == BB_MESSAGE_DIGEST) {
		reply = bb_member_receive(c->member, s->host, m,
					  bb_clock_now_us());
		if (reply)
			bb_transport_reply(bb_endpoint_transport(c->endpoint),
					   s, reply, NULL);
		bb_control_publish_current(c);
	} else if (s->host != BB_NO_ROW) {
		c->request_sender = s;
		dispatch(c, s->host, m);
		c->request_sender = NULL;
	}
	bb_received_message_delete(r);
}

/* Start. */

static void on_observation(void *data, void *entry)
{
	struct bb_control *c = data;

	bb_health_monitor_observe(c->health_monitor, entry, bb_clock_now_us());
}

static void on_draw_wakeup(void *data, void *entry)
{
	struct bb_control *c = data;

	(void)entry;
	bb_drawer_tick(c->drawer, bb_clock_now_us());
}

static void create_relay(struct bb_control *c)
{
	struct bb_relay_options ro = {
		.self = c->o.settings->host,
		.apply_us = c->o.settings->registry_apply_ms * BB_US_PER_MS,
		.hosts_per_reader = c->o.settings->registry_hosts_per_reader,
		.send = bb_control_send,
		.alive = is_relay_alive,
		.data = c,
	};

	c->relay = bb_relay_new(&ro);
}

struct bb_control *bb_control_new(const struct bb_control_options *o,
				  struct bb_error *err)
{
	struct bb_control *c = g_new0(struct bb_control, 1);

	c->o = *o;
	c->random = g_rand_new();
	c->current_until_us = INT64_MIN;
	g_mutex_init(&c->status_lock);
	c->pending_queries = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->queries = bb_mailbox_new(QUERIES_MAX, err);
	c->observations = bb_mailbox_new(OBSERVATIONS_MAX, err);
	c->draw_wakeups = bb_mailbox_new(DRAW_WAKEUPS_MAX, err);
	if (o->feed)
		create_relay(c);
	if (!c->queries || !c->observations || !c->draw_wakeups ||
	    bb_control_start_source(c, err)) {
		bb_control_delete(c);
		return NULL;
	}
	bb_control_perform_source(c);
	return c;
}

static int create_member(struct bb_control *c, struct bb_error *err)
{
	struct bb_member_options mo = {
		.config = bb_control_config(c),
		.name = c->o.settings->host,
		.incarnation = c->o.incarnation,
		.rand = c->random,
		.send = bb_control_send,
		.newer_version = bb_control_newer_version,
		.connect_peer = connect_peer,
		.freshness_us = c->o.settings->freshness_ms * BB_US_PER_MS,
		.config_linearizable = c->o.feed != NULL,
		.digest_entries = c->o.feed ? FEED_DIGEST_ENTRIES : 0,
		.data = c,
	};

	c->member = bb_member_new(&mo, err);
	return c->member ? 0 : -1;
}

static void create_limit_modules(struct bb_control *c)
{
	const char *host = c->o.settings->host;
	struct bb_lender_options lo = {
		.self = host,
		.incarnation = c->o.incarnation,
		.data = c,
		.may_lend = may_lend,
		.quorum_accepted = quorum_accepted,
		.alive = is_alive,
		.term_us = c->o.settings->lease_term_ms * BB_US_PER_MS,
		.freshness_us = c->o.settings->freshness_ms * BB_US_PER_MS,
		.drift_ppm = BB_LEASE_DRIFT_PPM,
	};
	struct bb_holder_options ho = {
		.self = host,
		.incarnation = c->o.incarnation,
		.data = c,
		.alive = is_alive,
		.drift_ppm = BB_LEASE_DRIFT_PPM,
	};
	struct bb_grantor_options go = {
		.incarnation = c->o.incarnation,
		.data = c,
		.find_account = bb_config_find_account,
		.drift_ppm = BB_LEASE_DRIFT_PPM,
	};
	struct bb_drawer_options dr = {
		.self = host,
		.incarnation = c->o.incarnation,
		.data = c,
		.alive = is_alive,
		.stopping = is_stopping,
		.drift_ppm = BB_LEASE_DRIFT_PPM,
	};

	if (c->o.feed)
		ho.reachable_permille = reachable_permille;
	lo.send = ho.send = go.send = dr.send = bb_control_send;
	c->lender = bb_lender_new(&lo);
	c->holder = bb_holder_new(&ho);
	go.holder = c->holder;
	c->grantor = bb_grantor_new(&go);
	c->drawer = bb_drawer_new(&dr);
}

static int create_records_permits_health(struct bb_control *c,
					 struct bb_error *err)
{
	struct bb_records_options ro = {
		.incarnation = c->o.incarnation,
		.groups = BB_LEASE_GROUPS,
		.seats = BB_LEASE_COMMITTEE_MAX,
		.window_us = bb_control_config(c)->idempotency_window_ms *
			     BB_US_PER_MS,
		.seats_held = seats_held,
		.seats_held_since = seats_held_since,
		.data = c,
		.send = bb_control_send,
		.send_data = c,
		.rand = c->random,
	};
	struct bb_permits_options po = {
		.incarnation = c->o.incarnation,
		.self = c->snapshot->self,
		.send = bb_control_send,
		.seats_held = seats_held_since,
		.group = service_group,
		.holder = bb_control_likely_holder,
		.agreed_us = automation_agreed_us,
		.agreement_unknown_us = automation_agreement_unknown_us,
		.leaving = bb_control_host_leaving,
		.data = c,
	};
	struct bb_health_monitor_options hmo = {
		.context = c->o.context,
		.health_changed = c->o.health_changed,
		.data = c->o.data,
		.observe_only = !c->o.settings->ejections,
		.trial_probes_only = !c->o.settings->probes,
		.send = bb_control_send,
		.send_data = c,
	};

	c->records = bb_records_new(&ro);
	c->permits = bb_permits_new(&po);
	hmo.permits = c->permits;
	c->health_monitor = bb_health_monitor_new(&hmo, err);
	return c->health_monitor ? 0 : -1;
}

static gboolean on_tick(gpointer data);

int bb_control_start(struct bb_control *c, struct bb_error *err)
{
	const struct bb_settings *s = c->o.settings;
	const struct bb_host *self =
		&bb_control_config(c)->hosts[c->snapshot->self];
	struct bb_transport_options to = {
		.address = s->bind_address ? s->bind_address : self->address,
		.port = self->control_port,
		.name = s->host,
		.curve_secret_key = s->curve_secret,
		.bytes_in_metric = BB_METRIC_CONTROL_BYTES_IN,
		.bytes_out_metric = BB_METRIC_CONTROL_BYTES_OUT,
	};
	struct bb_outbox_options oo = { c->o.context, NULL, on_own_message, c };

	c->endpoint = bb_endpoint_new(&to, c->o.context, on_message, c, err);
	if (!c->endpoint ||
	    bb_endpoint_configure(c->endpoint, bb_control_config(c), true, err))
		return -1;
	oo.endpoint = c->endpoint;
	c->outbox = bb_outbox_new(&oo);
	bb_outbox_set_self(c->outbox, c->snapshot->self);
	if (create_member(c, err))
		return -1;
	create_limit_modules(c);
	if (create_records_permits_health(c, err) ||
	    bb_control_start_host_list(c, err))
		return -1;
	bb_mailbox_attach(c->queries, c->o.context, bb_control_on_query, c);
	bb_mailbox_attach(c->observations, c->o.context, on_observation, c);
	bb_mailbox_attach(c->draw_wakeups, c->o.context, on_draw_wakeup, c);
	c->tick_timer = bb_loop_add_timeout(c->o.context, TICK_US, on_tick, c);
	c->started = true;
	return 0;
}

/* Periodic work. */

static json_t *registry_status(const struct bb_control *c, int64_t now_us)
{
	struct bb_relay_status s;

	if (!c->relay)
		return json_null();
	bb_relay_status(c->relay, now_us, &s);
	return json_pack("{s:s?, s:I, s:I, s:I}", "upstream", s.upstream,
			 "revision", (json_int_t)s.revision, "age_ms",
			 (json_int_t)(s.age_us < 0 ? -1 :
						     s.age_us / BB_US_PER_MS),
			 "peers_waiting", (json_int_t)s.waiting);
}

static void publish_status(struct bb_control *c, int64_t now_us)
{
	json_t *o;
	char *text;
	bool in_force = bb_control_config_in_force(c);
	json_int_t agreed_ms = automation_agreed_us(c, now_us);

	if (now_us < c->next_status_us)
		return;
	c->next_status_us = now_us + STATUS_INTERVAL_US;
	if (agreed_ms > 0)
		agreed_ms /= BB_US_PER_MS;
	o = json_pack(
		"{s:I, s:b, s:b, s:I, s:I, s:I, s:I, s:o, s:o, s:o}",
		"automation_agreed_ms", agreed_ms, "current",
		(int)bb_member_current(c->member, now_us), "quorum",
		(int)bb_member_has_quorum(c->member, now_us), "highest_version",
		(json_int_t)bb_member_highest_version(c->member), "leases_lent",
		(json_int_t)bb_lender_active_leases(c->lender, now_us),
		"groups_held", (json_int_t)bb_holder_groups(c->holder, now_us),
		"accounts_in_use", (json_int_t)bb_drawer_accounts(c->drawer),
		"host_list", bb_host_list_status(c->host_list, now_us),
		"registry", registry_status(c, now_us), "backends",
		in_force ? bb_health_monitor_status(c->health_monitor, now_us) :
			   json_array());
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	g_mutex_lock(&c->status_lock);
	free(c->status);
	c->status = text;
	g_mutex_unlock(&c->status_lock);
}

void bb_control_memory_changed(struct bb_control *c, int64_t now_us)
{
	if (!c->trim_due_us)
		c->trim_due_us = MAX(now_us + MEMORY_TRIM_DELAY_US,
				     c->trimmed_us + MEMORY_TRIM_INTERVAL_US);
}

static void trim_memory(struct bb_control *c, int64_t now_us)
{
	if (!c->trim_due_us || now_us < c->trim_due_us)
		return;
	malloc_trim(0);
	c->trim_due_us = 0;
	c->trimmed_us = now_us;
}

static gboolean on_tick(gpointer data)
{
	struct bb_control *c = data;
	int64_t now_us = bb_clock_now_us();

	bb_snapshots_reclaim(c->o.snapshots);
	trim_memory(c, now_us);
	bb_member_tick(c->member, now_us);
	bb_control_check_in_force(c, now_us);
	bb_control_publish_current(c);
	publish_status(c, now_us);
	if (!c->config_in_force)
		return G_SOURCE_CONTINUE;
	bb_control_update_agreed(c, now_us);
	if (!c->o.feed)
		bb_lender_tick(c->lender, now_us);
	bb_holder_tick(c->holder, now_us);
	bb_grantor_tick(c->grantor, now_us);
	bb_drawer_tick(c->drawer, now_us);
	if (c->relay)
		bb_relay_tick(c->relay, now_us);
	bb_records_tick(c->records, now_us);
	bb_permits_tick(c->permits, now_us);
	bb_health_monitor_tick(c->health_monitor, now_us);
	if (c->host_list)
		bb_host_list_tick(c->host_list, now_us);
	bb_control_retry_queries(c, now_us);
	bb_transport_close_idle(bb_endpoint_transport(c->endpoint), now_us,
				IDLE_CONNECTION_US);
	return G_SOURCE_CONTINUE;
}

/* Called from other threads. */

bool bb_control_config_current(const struct bb_control *c)
{
	int64_t until_us =
		(int64_t)ck_pr_load_64((const uint64_t *)&c->current_until_us);

	return bb_clock_now_us() < until_us;
}

bool bb_control_config_in_force(const struct bb_control *c)
{
	return ck_pr_load_uint(&c->config_in_force);
}

enum bb_spend_result bb_control_spend(struct bb_control *c, const char *account,
				      bool waited, int64_t now_us,
				      int64_t *retry_us)
{
	enum bb_spend_result s =
		bb_drawer_spend(c->drawer, account, waited, now_us, retry_us);

	/* If the mailbox is full, the control thread is already being woken. */
	if (s == BB_SPEND_WAIT)
		bb_mailbox_push(c->draw_wakeups, c);
	return s;
}

void bb_control_cancel_wait(struct bb_control *c, const char *account)
{
	bb_drawer_cancel_wait(c->drawer, account);
}

bool bb_control_may_use_reserve(struct bb_control *c, const char *account,
				int64_t now_us)
{
	return bb_drawer_may_use_reserve(c->drawer, account, now_us);
}

void bb_control_observe(struct bb_control *c, struct bb_observation *o)
{
	if (bb_mailbox_push(c->observations, o))
		return;
	g_free(o->backend);
	g_free(o);
}

/* Stop. */

static void hand_over_records(struct bb_control *c, int64_t now_us)
{
	for (uint32_t group = 0; group < BB_LEASE_GROUPS; group++) {
		uint32_t next = bb_control_likely_holder(c, group, 0);

		if (bb_holder_seats(c->holder, group, now_us) &&
		    next != BB_NO_ROW && next != c->snapshot->self)
			bb_records_hand_over(c->records, group, next, now_us);
	}
}

void bb_control_stop(struct bb_control *c)
{
	int64_t now_us = bb_clock_now_us();

	if (!c->started || c->stop_began_us)
		return;
	c->stop_began_us = now_us;
	bb_member_stop(c->member, now_us);
	bb_drawer_return_tokens(c->drawer, now_us);
	hand_over_records(c, now_us);
}

bool bb_control_stopped(struct bb_control *c)
{
	int64_t now_us = bb_clock_now_us();

	if (!c->stop_began_us ||
	    now_us - c->stop_began_us > HANDOVER_TIMEOUT_US)
		return true;
	if (bb_records_handovers_pending(c->records))
		return false;
	bb_holder_stop(c->holder);
	return !bb_holder_groups(c->holder, now_us);
}

char *bb_control_status(struct bb_control *c)
{
	char *text;

	g_mutex_lock(&c->status_lock);
	text = strdup(c->status ? c->status : "{}");
	g_mutex_unlock(&c->status_lock);
	return text;
}

static void free_observation(void *data, void *entry)
{
	struct bb_observation *o = entry;

	(void)data;
	g_free(o->backend);
	g_free(o);
}

static void delete_mailbox(struct bb_mailbox *m,
			   void (*release)(void *data, void *entry))
{
	if (m && release)
		bb_mailbox_clear(m, release);
	bb_mailbox_delete(m);
}

void bb_control_delete(struct bb_control *c)
{
	if (!c)
		return;
	bb_loop_remove(&c->tick_timer);
	bb_loop_remove(&c->source_fd_watch);
	bb_loop_remove(&c->source_timer);
	bb_host_list_delete(c->host_list);
	bb_health_monitor_delete(c->health_monitor);
	bb_permits_delete(c->permits);
	bb_records_delete(c->records);
	bb_drawer_delete(c->drawer);
	bb_grantor_delete(c->grantor);
	bb_holder_delete(c->holder);
	bb_lender_delete(c->lender);
	bb_member_delete(c->member);
	bb_lease_map_unref(c->map);
	bb_outbox_delete(c->outbox);
	bb_endpoint_delete(c->endpoint);
	if (c->o.feed)
		c->o.feed->stop(c->o.feed->data);
	bb_relay_delete(c->relay);
	bb_source_delete(c->source);
	bb_control_delete_queries(c);
	delete_mailbox(c->observations, free_observation);
	delete_mailbox(c->draw_wakeups, NULL);
	bb_snapshot_put(c->snapshot);
	g_rand_free(c->random);
	g_mutex_clear(&c->status_lock);
	free(c->status);
	g_free(c);
}
