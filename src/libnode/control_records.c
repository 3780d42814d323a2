#include "baobabward/clock.h"
#include "baobabward/lease.h"
#include "libnode/control_private.h"
#include "libnode/mailbox.h"
#include "libnode/outbox.h"

/*
 * A query without a reply is sent again after this time, and to another host
 * after a quarter of it if the first one does not hold the group.
 */
#define QUERY_RETRY_US (100 * BB_US_PER_MS)

/* A query that was sent and not answered. */
struct pending_query {
	struct bb_record_query *query;
	/* Number of replies from hosts that do not hold the group. */
	unsigned int attempt;
	/* Monotonic time of the next send, in microseconds. */
	int64_t retry_us;
	/* Monotonic time at which the query ends without a reply. */
	int64_t deadline_us;
};

void bb_record_query_delete(struct bb_record_query *q)
{
	if (!q)
		return;
	g_free(q->body);
	g_free(q->content_type);
	g_free(q);
}

static void send_query(struct bb_control *c, struct pending_query *p)
{
	struct bb_message m = { .type = BB_MESSAGE_RECORD };
	uint32_t host =
		bb_control_likely_holder(c, p->query->m.group, p->attempt);

	p->retry_us = bb_clock_now_us() + QUERY_RETRY_US;
	m.record = p->query->m;
	if (host != BB_NO_ROW)
		bb_outbox_send(c->outbox, host, &m);
}

static void end_query(struct bb_control *c, struct pending_query *p)
{
	struct bb_record_query *q = p->query;

	g_hash_table_remove(c->pending_queries, &q->m.nonce);
	c->o.record_answered(c->o.data, q);
	g_free(p);
}

void bb_control_on_query(void *data, void *entry)
{
	struct bb_control *c = data;
	struct bb_record_query *q = entry;
	struct pending_query *p = g_new0(struct pending_query, 1);

	p->query = q;
	p->deadline_us = bb_clock_now_us() + q->m.timeout_ms * BB_US_PER_MS;
	q->state = BB_RECORD_UNAVAILABLE;
	q->m.nonce = ++c->last_nonce;
	q->m.group = bb_lease_group((const char *)q->m.key_hash,
				    sizeof(q->m.key_hash));
	g_hash_table_insert(c->pending_queries, &q->m.nonce, p);
	send_query(c, p);
}

static void copy_outcome(struct bb_record_query *q, const struct bb_outcome *o)
{
	g_free(q->body);
	g_free(q->content_type);
	q->body = g_memdup2(o->body.data, o->body.size);
	q->content_type = g_strndup(o->content_type.data, o->content_type.size);
	q->outcome = *o;
	q->outcome.body.data = q->body;
	q->outcome.content_type.data = q->content_type;
}

void bb_control_receive_record_reply(struct bb_control *c,
				     const struct bb_message_record_reply *r)
{
	struct pending_query *p =
		g_hash_table_lookup(c->pending_queries, &r->nonce);

	if (!p || r->id.incarnation != p->query->m.id.incarnation ||
	    r->id.sequence != p->query->m.id.sequence)
		return;
	/* The host that replied does not hold the group; another one may. */
	if (r->state == BB_RECORD_UNAVAILABLE) {
		p->attempt++;
		p->retry_us = bb_clock_now_us() + QUERY_RETRY_US / 4;
		return;
	}
	p->query->state = r->state;
	copy_outcome(p->query, &r->outcome);
	end_query(c, p);
}

void bb_control_retry_queries(struct bb_control *c, int64_t now_us)
{
	GList *all = g_hash_table_get_values(c->pending_queries);

	for (GList *l = all; l; l = l->next) {
		struct pending_query *p = l->data;

		if (now_us >= p->deadline_us) {
			/*
			 * If only the reply was lost, the store may have
			 * recorded the key; that record expires by its own
			 * timeout.
			 */
			end_query(c, p);
		} else if (now_us >= p->retry_us) {
			send_query(c, p);
		}
	}
	g_list_free(all);
}

bool bb_control_query_record(struct bb_control *c, struct bb_record_query *q)
{
	return bb_mailbox_push(c->queries, q);
}

static void free_query(void *data, void *entry)
{
	(void)data;
	bb_record_query_delete(entry);
}

static gboolean free_pending(gpointer key, gpointer value, gpointer data)
{
	struct pending_query *p = value;

	(void)key;
	(void)data;
	bb_record_query_delete(p->query);
	g_free(p);
	return TRUE;
}

void bb_control_delete_queries(struct bb_control *c)
{
	g_hash_table_foreach_remove(c->pending_queries, free_pending, NULL);
	g_hash_table_destroy(c->pending_queries);
	if (c->queries)
		bb_mailbox_clear(c->queries, free_query);
	bb_mailbox_delete(c->queries);
}
