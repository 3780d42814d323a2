#include "libnode/session.h"

#include <glib.h>
#include <string.h>

#include "baobabward/clock.h"

/* Bound on the age of a report, which is useless long before. */
#define AGE_MAX_US (3600 * BB_US_PER_S)
/* Bound on the difference between the rates of two clocks. */
#define CLOCK_DRIFT_PERCENT 1

struct bb_sessions {
	/* struct bb_session by the name of its host. */
	GHashTable *by_host;
};

static void free_session(void *data)
{
	struct bb_session *s = data;

	g_free(s->host);
	g_free(s);
}

struct bb_sessions *bb_sessions_new(void)
{
	struct bb_sessions *s = g_new0(struct bb_sessions, 1);

	s->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   free_session);
	return s;
}

struct bb_session *bb_sessions_find(struct bb_sessions *s, const char *host)
{
	struct bb_session *p = g_hash_table_lookup(s->by_host, host);

	if (p)
		return p;
	p = g_new0(struct bb_session, 1);
	p->host = g_strdup(host);
	g_hash_table_insert(s->by_host, p->host, p);
	return p;
}

void bb_session_hello(struct bb_session *s, uint64_t incarnation,
		      uint64_t config_version, int64_t now_us,
		      struct bb_message *m)
{
	memset(m, 0, sizeof(*m));
	s->hello_us = now_us;
	s->nonce++;
	m->type = BB_MESSAGE_HELLO;
	m->hello.incarnation = incarnation;
	m->hello.config_version = config_version;
	m->hello.nonce = s->nonce;
}

bool bb_session_welcome(struct bb_session *s,
			const struct bb_message_welcome *w, int64_t now_us)
{
	if (!s->hello_us || w->nonce != s->nonce)
		return false;
	s->established = true;
	s->stopping = false;
	s->incarnation = w->incarnation;
	s->receiver_us = w->receiver_clock_us;
	s->welcome_us = now_us;
	s->round_trip_us = now_us - s->hello_us;
	s->hello_us = 0;
	return true;
}

int64_t bb_session_not_after(const struct bb_session *s, int64_t deadline_us)
{
	int64_t left_us = deadline_us - s->welcome_us;

	return s->receiver_us + left_us - left_us * CLOCK_DRIFT_PERCENT / 100;
}

void bb_session_age(const struct bb_session *s, int64_t clock_us,
		    int64_t now_us, int64_t *min_us, int64_t *max_us)
{
	int64_t passed_us = now_us - s->welcome_us;
	int64_t drift_us = passed_us * CLOCK_DRIFT_PERCENT / 100;
	int64_t age_us;

	/* The times of a peer may have any value. */
	if (__builtin_sub_overflow(s->receiver_us, clock_us, &age_us) ||
	    __builtin_add_overflow(age_us, passed_us, &age_us) ||
	    age_us > AGE_MAX_US)
		age_us = AGE_MAX_US;
	*min_us = MAX(0, age_us - drift_us);
	*max_us = MAX(0, age_us + drift_us + s->round_trip_us);
}

void bb_sessions_delete(struct bb_sessions *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->by_host);
	g_free(s);
}
