/*
 * Parts of the control thread that its source files share: control.c has the
 * modules, their callbacks and the tick, control_config.c the configuration
 * and its pages, control_hosts.c the platform's list of hosts, control_records.c the questions about idempotency keys.
 */
#ifndef BAOBABWARD_CONTROL_PRIVATE_H
#define BAOBABWARD_CONTROL_PRIVATE_H

#include <glib.h>

#include "baobabward/source.h"
#include "libnode/control.h"

struct bb_control {
	struct bb_control_options o;
	GRand *random;
	struct bb_source *source;
	GSource *source_fd;
	GSource *source_timer;
	struct bb_endpoint *endpoint;
	struct bb_outbox *post;
	struct bb_snapshot *snapshot;
	struct bb_lease_map *map;
	struct bb_member *member;
	struct bb_lender *lender;
	struct bb_holder *holder;
	struct bb_grantor *grantor;
	struct bb_drawer *drawer;
	struct bb_records *records;
	struct bb_permits *permits;
	struct bb_health_monitor *watch;
	struct bb_host_list *host_list;
	struct bb_mailbox *queries;
	struct bb_mailbox *observations;
	struct bb_mailbox *wakes;
	GHashTable *pending;
	uint64_t next_nonce;
	GSource *tick;
	int64_t current_until_us;
	unsigned int in_force;
	int64_t agreed_since_us;
	int64_t agreed_at_us;
	bool agrees;
	uint64_t automation_version;
	int64_t stop_us;
	int64_t status_us;
	const struct bb_sender *answering;
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
 * bb_control_send() - send a message to a peer or to this node's own modules.
 * @data: control
 * @host: index of the host
 * @m: the message; an answer takes the connection of its question
 */
void bb_control_send(void *data, uint32_t host, const struct bb_message *m);

/**
 * bb_control_publish_current() - let the other threads see until when the
 *				  configuration is known to be current.
 * @c: control
 */
void bb_control_publish_current(struct bb_control *c);

/**
 * bb_control_likely_holder() - host to ask about a key of a group.
 * @data: control
 * @group: the group
 * @attempt: 0 for the first question, which goes to the holder that most
 *	     likely has the majority; later ones alternate
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
 * bb_control_perform_source() - let the source do its work and set its timer.
 * @c: control
 */
void bb_control_perform_source(struct bb_control *c);

/**
 * bb_control_configure_modules() - hand the snapshot to all modules.
 * @c: control
 * @now_us: monotonic time
 */
void bb_control_configure_modules(struct bb_control *c, int64_t now_us);

/**
 * bb_control_check_in_force() - begin to use the first configuration when the
 *				 membership has put it in force.
 * @c: control
 * @now_us: monotonic time
 */
void bb_control_check_in_force(struct bb_control *c, int64_t now_us);

/**
 * bb_control_update_agreed() - note since when a quorum agrees with the
 *				automation switch.
 * @c: control
 * @now_us: monotonic time
 */
void bb_control_update_agreed(struct bb_control *c, int64_t now_us);

/**
 * bb_control_newer_version() - a peer has a newer configuration; ask for it.
 * @data: control
 * @host: index of the peer
 * @version: its version
 */
void bb_control_newer_version(void *data, uint32_t host, uint64_t version);

/**
 * bb_control_serve_page() - answer a peer's question for a page.
 * @c: control
 * @host: index of the peer
 * @r: the question
 */
void bb_control_serve_page(struct bb_control *c, uint32_t host,
			   const struct bb_message_page_request *r);

/**
 * bb_control_take_page() - use a page that a peer sent.
 * @c: control
 * @host: index of the peer
 * @m: the page; its signature is verified here
 */
void bb_control_take_page(struct bb_control *c, uint32_t host,
			  const struct bb_message_page *m);

/* control_hosts.c */

/**
 * bb_control_start_host_list() - read the platform's list of hosts, if set.
 * @c: control
 * @err: filled in on failure
 *
 * Return: 0, or -1 with @err set.
 */
int bb_control_start_host_list(struct bb_control *c, struct bb_error *err);

/**
 * bb_control_configure_host_list() - find the leaving hosts of the snapshot.
 * @c: control
 */
void bb_control_configure_host_list(struct bb_control *c);

/**
 * bb_control_publish_leaving() - tell the traffic thread which hosts leave.
 * @c: control
 */
void bb_control_publish_leaving(struct bb_control *c);

/**
 * bb_control_host_leaving() - whether a host leaves by the platform's list.
 * @data: control
 * @host: index of the host
 */
bool bb_control_host_leaving(void *data, uint32_t host);

/* control_records.c */

/**
 * bb_control_on_query() - send a record question of another thread.
 * @data: control
 * @entry: struct bb_record_query, owned from now on
 */
void bb_control_on_query(void *data, void *entry);

/**
 * bb_control_take_record_reply() - end the question that a reply belongs to.
 * @c: control
 * @r: the reply
 */
void bb_control_take_record_reply(struct bb_control *c,
				  const struct bb_message_record_reply *r);

/**
 * bb_control_retry_queries() - repeat or end questions without a reply.
 * @c: control
 * @now_us: monotonic time
 */
void bb_control_retry_queries(struct bb_control *c, int64_t now_us);

/**
 * bb_control_delete_queries() - free all questions, waiting or sent.
 * @c: control
 */
void bb_control_delete_queries(struct bb_control *c);

#endif
