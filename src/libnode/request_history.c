#include "libnode/request_history.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "baobabward/clock.h"

/**
 * struct history_entry - what is kept of a request.
 * @id: request id
 * @account: name of the client account, empty for none
 * @route: name of the route, empty for none
 * @at_us: wall-clock time of the answer
 * @status: HTTP status of the answer
 * @verdict: whether the request ran
 * @reason: why it was refused or failed
 */
struct history_entry {
	char id[BB_REQUEST_ID_SIZE];
	char account[BB_NAME_MAX + 1];
	char route[BB_NAME_MAX + 1];
	int64_t at_us;
	unsigned int status;
	enum bb_verdict verdict;
	enum bb_reason reason;
};

/**
 * struct history_ring - ring buffer of entries.
 * @entries: array of the capacity of the history
 * @next: index of the entry that is overwritten next
 * @nr: number of entries in use
 */
struct history_ring {
	struct history_entry *entries;
	unsigned int next;
	unsigned int nr;
};

/**
 * enum history_kind - ring buffers of a history.
 * @HISTORY_REFUSED: requests that certainly did not run
 * @HISTORY_FAILED: requests that ran or may have run
 */
enum history_kind { HISTORY_REFUSED, HISTORY_FAILED, HISTORY_KIND_COUNT };

struct bb_request_history {
	pthread_mutex_t mutex;
	struct history_ring rings[HISTORY_KIND_COUNT];
	unsigned int capacity;
};

struct bb_request_history *bb_request_history_new(unsigned int capacity)
{
	struct bb_request_history *h = g_new0(struct bb_request_history, 1);

	pthread_mutex_init(&h->mutex, NULL);
	for (int i = 0; i < HISTORY_KIND_COUNT; i++)
		h->rings[i].entries = g_new0(struct history_entry, capacity);
	h->capacity = capacity;
	return h;
}

static void add_entry(struct bb_request_history *h,
		      const struct history_entry *e)
{
	struct history_ring *ring =
		&h->rings[e->verdict == BB_VERDICT_NOT_RUN ? HISTORY_REFUSED :
							     HISTORY_FAILED];

	ring->entries[ring->next] = *e;
	ring->next = (ring->next + 1) % h->capacity;
	ring->nr = MIN(ring->nr + 1, h->capacity);
}

void bb_request_history_add(struct bb_request_history *h,
			    const struct bb_call *c)
{
	struct history_entry e = { .at_us = bb_clock_wall_us() };

	if (!h)
		return;
	g_strlcpy(e.id, c->id, sizeof(e.id));
	if (c->account != BB_NO_ROW)
		g_strlcpy(e.account, bb_call_account(c)->name,
			  sizeof(e.account));
	if (c->route != BB_NO_ROW)
		g_strlcpy(e.route, bb_call_route(c)->name, sizeof(e.route));
	e.status = c->answer.status;
	e.verdict = c->answer.verdict;
	e.reason = c->answer.reason;
	pthread_mutex_lock(&h->mutex);
	add_entry(h, &e);
	pthread_mutex_unlock(&h->mutex);
}

static json_t *text_or_null(const char *s)
{
	return *s ? json_string(s) : json_null();
}

static json_t *entry_json(const struct history_entry *e)
{
	GDateTime *at = g_date_time_new_from_unix_utc(e->at_us / BB_US_PER_S);
	char *stamp = g_date_time_format_iso8601(at);
	json_t *o;

	o = json_pack(
		"{s:s, s:s, s:I, s:i, s:s, s:s, s:o, s:o}", "request", e->id,
		"time", stamp, "age_ms",
		(json_int_t)((bb_clock_wall_us() - e->at_us) / BB_US_PER_MS),
		"status", (int)e->status, "verdict",
		bb_verdict_string[e->verdict], "reason",
		bb_reason_string[e->reason], "account",
		text_or_null(e->account), "route", text_or_null(e->route));
	g_free(stamp);
	g_date_time_unref(at);
	return o;
}

static const struct history_entry *find_entry(const struct history_ring *ring,
					      const char *id)
{
	for (unsigned int i = 0; i < ring->nr; i++)
		if (!strcmp(ring->entries[i].id, id))
			return &ring->entries[i];
	return NULL;
}

json_t *bb_request_history_find(struct bb_request_history *h, const char *id)
{
	const struct history_entry *e = NULL;
	struct history_entry found;

	pthread_mutex_lock(&h->mutex);
	for (int i = 0; i < HISTORY_KIND_COUNT && !e; i++)
		e = find_entry(&h->rings[i], id);
	if (e)
		found = *e;
	pthread_mutex_unlock(&h->mutex);
	return e ? entry_json(&found) : NULL;
}

static void count_account(const struct history_ring *ring, const char *account,
			  unsigned int *counts)
{
	for (unsigned int i = 0; i < ring->nr; i++)
		if (!strcmp(ring->entries[i].account, account))
			counts[ring->entries[i].reason]++;
}

json_t *bb_request_history_count(struct bb_request_history *h,
				 const char *account)
{
	unsigned int counts[BB_REASON_COUNT] = { 0 };
	json_t *o = json_object();

	pthread_mutex_lock(&h->mutex);
	for (int i = 0; i < HISTORY_KIND_COUNT; i++)
		count_account(&h->rings[i], account, counts);
	pthread_mutex_unlock(&h->mutex);
	for (int i = 0; i < BB_REASON_COUNT; i++)
		if (counts[i])
			json_object_set_new(o, bb_reason_string[i],
					    json_integer(counts[i]));
	return o;
}

void bb_request_history_delete(struct bb_request_history *h)
{
	if (!h)
		return;
	pthread_mutex_destroy(&h->mutex);
	for (int i = 0; i < HISTORY_KIND_COUNT; i++)
		g_free(h->rings[i].entries);
	g_free(h);
}
