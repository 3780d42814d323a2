/*
 * Transfer of the records of a group on a planned stop.
 *
 * The holder that stops offers the group; the next holder answers with a nonce
 * and records the time; the holder stops answering for the group and sends the
 * records with the nonce, to one host only. The next holder counts as covered
 * if it received all parts and obtained the majority within TRANSFER_VALID_US
 * of making the nonce.
 *
 * Proof that no other node recorded a key in between: the sender was covered
 * and held the majority when it sent, which is after the nonce was made. Any
 * third holder obtained the majority later, more than a window after it last
 * held it, so it answers "new" only one window after that, and the window is
 * longer than TRANSFER_VALID_US.
 */
#include <string.h>

#include "baobabward/clock.h"
#include "libmember/idempotency_internal.h"

/* Longest time from making the nonce until the next holder has the majority.
 * Releasing the leases and requesting them again takes about a second. */
#define TRANSFER_VALID_US (10 * BB_US_PER_S)
/* With a shorter window nothing is transferred: the proof above needs the
 * margin. */
#define TRANSFER_WINDOW_MIN_US (2 * TRANSFER_VALID_US)
#define OFFER_INTERVAL_US (500 * BB_US_PER_MS)
/* Bounds on one part, far below the message limit of the protocol between
 * nodes. */
#define PART_BYTES (256u << 10)
#define PART_ENTRIES 1024

void bb_records_incoming_delete(struct incoming *in)
{
	if (!in)
		return;
	g_hash_table_destroy(in->parts);
	g_free(in);
}

static void send_transfer(struct bb_records *r, uint32_t host,
			  const struct bb_message_record_transfer *t)
{
	struct bb_message m = {
		.type = BB_MESSAGE_RECORD_TRANSFER,
		.record_transfer = *t,
	};

	m.record_transfer.incarnation = r->o.incarnation;
	r->o.send(r->o.send_data, host, &m);
}

static void send_offer(struct bb_records *r, uint32_t group, int64_t now_us)
{
	struct bb_message_record_transfer t = {
		.kind = BB_TRANSFER_OFFER,
		.group = group,
	};

	r->groups[group].offer_sent_us = now_us;
	send_transfer(r, r->groups[group].outgoing_host, &t);
}

void bb_records_hand_over(struct bb_records *r, uint32_t group, uint32_t host,
			  int64_t now_us)
{
	struct group *g = &r->groups[group];

	if (r->o.window_us < TRANSFER_WINDOW_MIN_US ||
	    g->outgoing != OUTGOING_NONE ||
	    !bb_records_check_held(r, group, now_us))
		return;
	g->outgoing = OUTGOING_OFFERED;
	g->outgoing_host = host;
	send_offer(r, group, now_us);
}

uint32_t bb_records_handovers_pending(const struct bb_records *r)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < r->o.groups; i++)
		n += r->groups[i].outgoing == OUTGOING_OFFERED;
	return n;
}

void bb_records_transfer_tick(struct bb_records *r, uint32_t group,
			      int64_t now_us)
{
	struct group *g = &r->groups[group];

	if (g->outgoing != OUTGOING_OFFERED)
		return;
	if (!g->held)
		g->outgoing = OUTGOING_NONE;
	else if (now_us - g->offer_sent_us >= OFFER_INTERVAL_US)
		send_offer(r, group, now_us);
}

/* Answers an offer. A repeated offer is answered with the same nonce while the
 * nonce is valid, because the sender uses only the first answer. */
static void receive_offer(struct bb_records *r, uint32_t host,
			  const struct bb_message_record_transfer *m,
			  int64_t now_us)
{
	struct bb_message_record_transfer t = {
		.kind = BB_TRANSFER_ACCEPT,
		.group = m->group,
	};
	struct group *g = &r->groups[m->group];

	if (g->outgoing != OUTGOING_NONE ||
	    bb_records_check_held(r, m->group, now_us))
		return;
	if (!g->incoming || g->incoming->incarnation != m->incarnation ||
	    now_us - g->incoming->nonce_made_us > TRANSFER_VALID_US) {
		bb_records_incoming_delete(g->incoming);
		g->incoming = g_new0(struct incoming, 1);
		g->incoming->parts = g_hash_table_new(NULL, NULL);
		g->incoming->last_part = UINT32_MAX;
		g->incoming->incarnation = m->incarnation;
		g->incoming->nonce = (uint64_t)g_rand_int(r->o.rand) << 32 |
				     g_rand_int(r->o.rand) | 1;
		g->incoming->nonce_made_us = now_us;
	}
	t.nonce = g->incoming->nonce;
	send_transfer(r, host, &t);
}

static void fill_entry(struct bb_record_entry *e, const struct record *rec,
		       int64_t now_us)
{
	memcpy(e->key_hash, rec->key_hash, sizeof(e->key_hash));
	e->id = rec->id;
	e->account_hash = rec->account_hash;
	e->fingerprint = rec->fingerprint;
	e->age_ms = (uint32_t)((now_us - rec->begun_us) / BB_US_PER_MS);
	e->state = bb_record_state(rec, now_us);
	e->outcome = bb_record_outcome(rec);
}

static void send_parts(struct bb_records *r, uint32_t group, uint64_t nonce,
		       int64_t now_us)
{
	struct group *g = &r->groups[group];
	GArray *entries =
		g_array_new(FALSE, TRUE, sizeof(struct bb_record_entry));
	struct bb_message_record_transfer t = {
		.kind = BB_TRANSFER_PART,
		.nonce = nonce,
		.group = group,
	};
	int64_t covered_us = 0;
	size_t bytes = 0;

	/* A holder that is not covered passes on no coverage. More than two
	 * windows make no difference to the receiver. */
	if (bb_records_covered(r, group, now_us))
		covered_us =
			MIN(now_us - g->covered_since_us, 2 * r->o.window_us);
	t.covered_ms = (uint32_t)(covered_us / BB_US_PER_MS);
	for (GList *l = r->expiry_queue.head; l; l = l->next) {
		struct record *rec = l->data;
		struct bb_record_entry e = { 0 };

		if (rec->group != group || rec->kind == RECORD_NOT_RUN)
			continue;
		if (entries->len == PART_ENTRIES || bytes > PART_BYTES) {
			t.entries = (struct bb_record_entry *)entries->data;
			t.entries_nr = entries->len;
			send_transfer(r, g->outgoing_host, &t);
			t.part++;
			g_array_set_size(entries, 0);
			bytes = 0;
		}
		fill_entry(&e, rec, now_us);
		bytes += sizeof(e) + rec->type_size + rec->body_size;
		g_array_append_val(entries, e);
	}
	t.complete = true;
	t.entries = (struct bb_record_entry *)entries->data;
	t.entries_nr = entries->len;
	send_transfer(r, g->outgoing_host, &t);
	g_array_free(entries, TRUE);
}

static void receive_accept(struct bb_records *r, uint32_t host,
			   const struct bb_message_record_transfer *m,
			   int64_t now_us)
{
	struct group *g = &r->groups[m->group];

	if (g->outgoing != OUTGOING_OFFERED || host != g->outgoing_host ||
	    !m->nonce)
		return;
	if (!bb_records_check_held(r, m->group, now_us)) {
		g->outgoing = OUTGOING_NONE;
		return;
	}
	/* From here on this node does not answer for the group. */
	g->outgoing = OUTGOING_SENT;
	send_parts(r, m->group, m->nonce, now_us);
}

/* Stores one received record. It replaces the record of this node, which is
 * older, unless that one has the outcome of the same attempt. */
static bool receive_entry(struct bb_records *r, uint32_t group,
			  const struct bb_record_entry *e, int64_t now_us)
{
	struct record *rec = bb_records_find(r, e->key_hash, now_us);
	int64_t age_us = e->age_ms * BB_US_PER_MS;
	int64_t begun_us = now_us - age_us + age_us * DRIFT_PERCENT / 100;
	bool keep;

	if (!rec)
		rec = bb_records_add(r, e->key_hash, e->account_hash, true);
	if (!rec)
		return false;
	keep = rec->kind == RECORD_DONE &&
	       rec->id.incarnation == e->id.incarnation &&
	       rec->id.sequence == e->id.sequence;
	/* The later start counts, so that no use of the key expires early. */
	rec->begun_us = MAX(rec->begun_us, begun_us);
	if (keep)
		return true;
	rec->id = e->id;
	rec->group = group;
	rec->fingerprint = e->fingerprint;
	rec->kind = RECORD_UNCERTAIN;
	if (e->state == BB_RECORD_DONE) {
		rec->kind = RECORD_DONE;
		bb_records_store(r, rec, &e->outcome);
	}
	return true;
}

static bool all_parts(const struct incoming *in)
{
	return in->last_part != UINT32_MAX &&
	       g_hash_table_size(in->parts) == in->last_part + 1;
}

void bb_records_apply_coverage(struct bb_records *r, uint32_t group)
{
	struct group *g = &r->groups[group];
	struct incoming *in = g->incoming;
	int64_t since_us;

	if (!in || !all_parts(in) || !g->held)
		return;
	since_us = g->held_since_us - in->covered_us +
		   in->covered_us * DRIFT_PERCENT / 100;
	if (g->held_since_us >= in->nonce_made_us &&
	    g->held_since_us - in->nonce_made_us <= TRANSFER_VALID_US)
		g->covered_since_us = MIN(g->covered_since_us, since_us);
	bb_records_incoming_delete(in);
	g->incoming = NULL;
}

static void receive_part(struct bb_records *r,
			 const struct bb_message_record_transfer *m,
			 int64_t now_us)
{
	struct incoming *in = r->groups[m->group].incoming;

	if (!in || m->nonce != in->nonce || m->incarnation != in->incarnation)
		return;
	for (size_t i = 0; i < m->entries_nr; i++)
		if (!receive_entry(r, m->group, &m->entries[i], now_us))
			return;
	g_hash_table_add(in->parts, GUINT_TO_POINTER(m->part));
	if (m->complete) {
		in->last_part = m->part;
		in->covered_us = m->covered_ms * BB_US_PER_MS;
	}
	bb_records_check_held(r, m->group, now_us);
	bb_records_apply_coverage(r, m->group);
}

void bb_records_transfer_receive(struct bb_records *r, uint32_t host,
				 const struct bb_message_record_transfer *m,
				 int64_t now_us)
{
	if (m->group >= r->o.groups || r->o.window_us < TRANSFER_WINDOW_MIN_US)
		return;
	switch (m->kind) {
	case BB_TRANSFER_OFFER:
		receive_offer(r, host, m, now_us);
		break;
	case BB_TRANSFER_ACCEPT:
		receive_accept(r, host, m, now_us);
		break;
	case BB_TRANSFER_PART:
		receive_part(r, m, now_us);
		break;
	default:
		break;
	}
}
