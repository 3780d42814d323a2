/*
 * Parts of the control thread that its source files share: control.c has the
 * modules, their callbacks and the tick, control_config.c the configuration
 * and its pages, control_hosts.c the platform's list of hosts, and
 * control_records.c the queries about idempotency keys.
 */
#ifndef BAOBABWARD_CONTROL_PRIVATE_H
#define BAOBABWARD_CONTROL_PRIVATE_H

#include <glib.h>

#include "baobabward/relay.h"
#include "baobabward/source.h"
#include "libnode/control.h"

/**
 * struct bb_control - state of the control thread.
 * @source: reads the configuration, NULL with a feed
 * @relay: passes changes of the registry between nodes, NULL without a feed
 * @source_fd_watch: event source on the file descriptor of @source
 * @started: all modules exist; set by bb_control_start()
 * @snapshot: newest accepted configuration; counted reference
 * @map: lease committees of @snapshot
 * @queries: record queries from other threads
 * @observations: outcomes of requests from other threads
 * @draw_wakeups: tell this thread that a call waits for a token
 * @pending_queries: queries that were sent and not answered, by nonce
 * @last_nonce: nonce of the last query that was sent
 * @current_until_us: monotonic time until which the configuration is known to
 *		      be current, INT64_MIN for never; atomic
 * @config_in_force: 1 once a configuration is in force; atomic
 * @automation_agreed: at the last tick a quorum was known to have accepted the
 *		       present value of the automation switch
 * @automation_agreed_since_us: since when that has been known, 0 if it is not
 * @automation_agreed_at_us: tick at which it was last known
 * @automation_version: version from which on the switch has its present value
 * @stop_began_us: when the stop began, 0 while the node runs
 * @next_status_us: when to publish the status again
 * @trim_due_us: when to give free memory back, 0 if nothing changed since
 * @trimmed_us: when that was last done
 * @request_sender: sender of the message that is being processed, NULL for none
 * @status_lock: protects @status
 * @status: JSON text for operators, NULL before the first
 *
 * Times are monotonic, in microseconds.
 */
struct bb_control {
	struct bb_control_options o;
	GRand *random;
	struct bb_source *source;
	struct bb_relay *relay;
	GSource *source_fd_watch;
	GSource *source_timer;
	struct bb_endpoint *endpoint;
	struct bb_outbox *outbox;
	struct bb_snapshot *snapshot;
	struct bb_lease_map *map;
	struct bb_member *member;
	struct bb_lender *lender;
	struct bb_holder *holder;
	struct bb_grantor *grantor;
	struct bb_drawer *drawer;
	struct bb_records *records;
	struct bb_permits *permits;
	struct bb_health_monitor *health_monitor;
	struct bb_host_list *host_list;
	struct bb_mailbox *queries;
	struct bb_mailbox *observations;
	struct bb_mailbox *draw_wakeups;
	GHashTable *pending_queries;
	uint64_t last_nonce;
	GSource *tick_timer;
	int64_t current_until_us;
	unsigned int config_in_force;
	int64_t automation_agreed_since_us;
	int64_t automation_agreed_at_us;
	bool automation_agreed;
	uint64_t automation_version;
	int64_t stop_began_us;
	int64_t next_status_us;
	int64_t trim_due_us;
	int64_t trimmed_us;
	const struct bb_sender *request_sender;
	GMutex status_lock;
	char *status;
	bool started;
};

static inline const struct bb_config *
bb_control_config(const struct bb_control *c)
{
	return c->snapshot->config;
}

/* control.c */

/**
 * bb_control_memory_changed() - free memory is to be given back to the system in
 *				 a while.
 * @c: control
 * @now_us: monotonic time
 */
void bb_control_memory_changed(struct bb_control *c, int64_t now_us);

/**
 * bb_control_send() - send a message to a peer or to this node's own modules.
 * @data: control
 * @host: index of the host
 * @m: the message; a reply goes back on the connection of its request
 */
void bb_control_send(void *data, uint32_t host, const struct bb_message *m);

/**
 * bb_control_publish_current() - publish to the other threads until when the
 *				  configuration is known to be current.
 * @c: control
 */
void bb_control_publish_current(struct bb_control *c);

/**
 * bb_control_likely_holder() - host to ask about a key of a lease group.
 * @data: control
 * @group: the lease group
 * @attempt: 0 for the first attempt, which goes to the host that most likely
 *	     holds the majority of the group's seats; later attempts alternate
 *	     between the committee members of odd and of even rank
 *
 * Return: index of the host, or BB_NO_ROW.
 */
uint32_t bb_control_likely_holder(void *data, uint32_t group,
				  unsigned int attempt);

/* control_config.c */

/**
 * bb_control_start_source() - open the source of the configuration.
 * @c: control
 * @err: filled in on failure
 *
 * Return: 0, or -1 with @err set.
 */
int bb_control_start_source(struct bb_control *c, struct bb_error *err);

/**
 * bb_control_perform_source() - run the configuration source and set its timer.
 * @c: control
 */
void bb_control_perform_source(struct bb_control *c);

/**
 * bb_control_configure_modules() - apply the present snapshot to all modules.
 * @c: control
 * @now_us: monotonic time
 */
void bb_control_configure_modules(struct bb_control *c, int64_t now_us);

/**
 * bb_control_check_in_force() - begin to use the first configuration once the
 *				 membership module reports it in force.
 * @c: control
 * @now_us: monotonic time
 */
void bb_control_check_in_force(struct bb_control *c, int64_t now_us);

/**
 * bb_control_update_agreed() - update since when a quorum is known to have
 *				accepted the value of the automation switch.
 * @c: control
 * @now_us: monotonic time
 */
void bb_control_update_agreed(struct bb_control *c, int64_t now_us);

/**
 * bb_control_newer_version() - request the pages of a newer configuration from
 *				the peer that has it.
 * @data: control
 * @host: index of the peer
 * @version: its version
 */
void bb_control_newer_version(void *data, uint32_t host, uint64_t version);

/**
 * bb_control_serve_page() - answer a peer's request for a page.
 * @c: control
 * @host: index of the peer
 * @r: the request
 */
void bb_control_serve_page(struct bb_control *c, uint32_t host,
			   const struct bb_message_page_request *r);

/**
 * bb_control_receive_page() - process a page that a peer sent.
 * @c: control
 * @host: index of the peer
 * @m: the page; its signature is verified here
 */
void bb_control_receive_page(struct bb_control *c, uint32_t host,
			     const struct bb_message_page *m);

/* control_hosts.c */

/**
 * bb_control_start_host_list() - start reading the platform's list of hosts if
 *				  the settings ask for it.
 * @c: control
 * @err: filled in on failure
 *
 * Return: 0, or -1 with @err set.
 */
int bb_control_start_host_list(struct bb_control *c, struct bb_error *err);

/**
 * bb_control_configure_host_list() - determine which hosts of the snapshot are
 *				      leaving.
 * @c: control
 */
void bb_control_configure_host_list(struct bb_control *c);

/**
 * bb_control_publish_leaving() - pass the set of leaving hosts to the traffic
 *				  thread.
 * @c: control
 */
void bb_control_publish_leaving(struct bb_control *c);

/**
 * bb_control_host_leaving() - whether a host is leaving by order of the
 *			       platform's list.
 * @data: control
 * @host: index of the host
 */
bool bb_control_host_leaving(void *data, uint32_t host);

/* control_records.c */

/**
 * bb_control_on_query() - send a record query that another thread queued.
 * @data: control
 * @entry: struct bb_record_query; ownership passes to this function
 */
void bb_control_on_query(void *data, void *entry);

/**
 * bb_control_receive_record_reply() - end the query that a reply belongs to.
 * @c: control
 * @r: the reply
 */
void bb_control_receive_record_reply(struct bb_control *c,
				     const struct bb_message_record_reply *r);

/**
 * bb_control_retry_queries() - send unanswered queries again, and end those
 *				whose time is over.
 * @c: control
 * @now_us: monotonic time
 */
void bb_control_retry_queries(struct bb_control *c, int64_t now_us);

/**
 * bb_control_delete_queries() - free all queries, queued or sent.
 * @c: control
 */
void bb_control_delete_queries(struct bb_control *c);

#endif
