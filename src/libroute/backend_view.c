#include "baobabward/backend_view.h"

#include <glib.h>
#include <string.h>

#include "baobabward/clock.h"

/*
 * Time for which a backend server must have had no free slot, or have had one
 * again, before that is reported. Shorter states are over before the report has
 * any effect.
 */
#define STEADY_US (60 * BB_US_PER_MS)
/* A hint that ends within this time is not withdrawn, nor is it still in force
 * for the decision whether a later one has to be sent. */
#define HINT_ENDS_US (30 * BB_US_PER_MS)
/* The budget saves up what is granted in this time, so that a change can be
 * told to several nodes at once. */
#define SAVED_US (2 * BB_US_PER_S)
/*
 * Upper bound of the encoded size of a message without its reports (25), with
 * the framing of ZeroMQ (9) and TCP/IP (52).
 */
#define MESSAGE_BYTES 86
/* The lists and the length of the name in a report. */
#define REPORT_BYTES 4

/**
 * struct known - what is known of a backend server.
 * @started_ms: greatest start that a report named, 0 if unknown
 * @incarnation: of the sender of the last report, 0 if there was none
 * @clock_us: the sender's clock at that report
 * @asked_us: when the request was sent whose RESULT was taken in last
 * @sent_us: when @load was sent, by the own clock; not later than that
 */
struct known {
	uint64_t started_ms;
	uint64_t incarnation;
	int64_t clock_us;
	int64_t asked_us;
	int64_t sent_us;
	struct bb_load load;
};

/* struct known by the name of the backend server. */
struct bb_backend_view {
	GHashTable *backends;
};

struct bb_backend_view *bb_backend_view_new(void)
{
	struct bb_backend_view *v = g_new0(struct bb_backend_view, 1);

	v->backends =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return v;
}

static gboolean is_not_configured(gpointer key, gpointer value, gpointer data)
{
	const char *name = key;

	(void)value;
	return bb_config_find_backend(data, name, strlen(name)) == BB_NO_ROW;
}

void bb_backend_view_configure(struct bb_backend_view *v,
			       const struct bb_config *c)
{
	g_hash_table_foreach_remove(v->backends, is_not_configured,
				    (gpointer)c);
}

static struct known *get_known(struct bb_backend_view *v, const char *name)
{
	struct known *k = g_hash_table_lookup(v->backends, name);

	if (k)
		return k;
	k = g_new0(struct known, 1);
	k->sent_us = INT64_MIN / 2;
	k->asked_us = INT64_MIN / 2;
	g_hash_table_insert(v->backends, g_strdup(name), k);
	return k;
}

static bool copy_name(const struct bb_bytes *name, char *key)
{
	if (!name->size || name->size > BB_NAME_MAX)
		return false;
	memcpy(key, name->data, name->size);
	key[name->size] = '\0';
	return true;
}

bool bb_backend_view_report(struct bb_backend_view *v,
			    const struct bb_backend_report *r,
			    uint64_t configured_ms,
			    const struct bb_report_origin *o, int64_t now_us)
{
	char name[BB_NAME_MAX + 1];
	struct known *k;

	if (!copy_name(&r->backend, name) ||
	    o->age_max_us > BB_REPORT_AGE_MAX_US ||
	    r->started_ms < configured_ms)
		return false;
	k = get_known(v, name);
	if (r->started_ms < k->started_ms)
		return false;
	/* Clocks of different incarnations cannot be compared. */
	if (r->started_ms == k->started_ms &&
	    o->incarnation == k->incarnation && o->clock_us < k->clock_us)
		return false;
	if (now_us - o->age_min_us < k->asked_us)
		return false;
	k->started_ms = r->started_ms;
	k->incarnation = o->incarnation;
	k->clock_us = o->clock_us;
	k->sent_us = now_us - o->age_min_us;
	k->load = r->load;
	return true;
}

void bb_backend_view_result(struct bb_backend_view *v, const char *backend,
			    const struct bb_load *load, int64_t asked_us,
			    int64_t now_us)
{
	struct known *k = get_known(v, backend);

	k->asked_us = MAX(k->asked_us, asked_us);
	k->sent_us = now_us;
	k->load = *load;
}

bool bb_backend_view_load(const struct bb_backend_view *v, const char *backend,
			  int64_t max_age_us, int64_t now_us,
			  struct bb_load *load)
{
	const struct known *k = g_hash_table_lookup(v->backends, backend);
	int64_t age_us;

	if (!k || now_us - k->sent_us > max_age_us)
		return false;
	age_us = MAX(0, now_us - k->sent_us);
	*load = k->load;
	/* That of a peer may have any value. */
	load->avoid_for_us = MAX(0, MAX(0, load->avoid_for_us) - age_us);
	return true;
}

struct bb_load bb_backend_view_seen(const struct bb_load *load, uint32_t slots)
{
	struct bb_load seen = *load;

	if (load->slots != 1 || slots <= 1)
		return seen;
	seen.in_flight = slots;
	seen.slots = slots;
	return seen;
}

void bb_backend_view_delete(struct bb_backend_view *v)
{
	if (!v)
		return;
	g_hash_table_destroy(v->backends);
	g_free(v);
}

/**
 * enum state - state of a backend server as far as it is reported.
 */
enum state {
	STATE_FREE,
	STATE_FULL,
	STATE_AVOID,
};

/**
 * struct reported - a backend server beside this node.
 * @report: its newest state, with @name
 * @state: the state that listeners are to know
 * @other_us: since when it has been in another state, 0 if it is in @state
 * @hint_until_us: end of the hint that was last due to be sent
 * @observed_us: time of @report
 * @change: number of the last change of @state
 */
struct reported {
	char *name;
	struct bb_backend_report report;
	enum state state;
	int64_t other_us;
	int64_t hint_until_us;
	int64_t observed_us;
	uint64_t change;
};

/**
 * struct listener - a node that sent requests.
 * @heard_us: when it last sent a message
 * @told: number of the last change that it was told
 */
struct listener {
	char *host;
	int64_t heard_us;
	uint64_t told;
};

/**
 * struct bb_report_sender - changes and who has to be told.
 * @backends: struct reported by name
 * @listeners: struct listener by host name
 * @last_change: number of the last change
 * @bytes_per_s: budget
 * @saved_millibytes: unused budget, in thousandths of a byte
 * @granted_us: time up to which the budget was granted
 */
struct bb_report_sender {
	GHashTable *backends;
	GHashTable *listeners;
	uint64_t last_change;
	uint32_t bytes_per_s;
	int64_t saved_millibytes;
	int64_t granted_us;
};

static void free_reported(void *data)
{
	struct reported *r = data;

	g_free(r->name);
	g_free(r);
}

static void free_listener(void *data)
{
	struct listener *l = data;

	g_free(l->host);
	g_free(l);
}

struct bb_report_sender *bb_report_sender_new(void)
{
	struct bb_report_sender *s = g_new0(struct bb_report_sender, 1);

	s->backends = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_reported);
	s->listeners = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     free_listener);
	return s;
}

void bb_report_sender_set_rate(struct bb_report_sender *s, uint32_t bytes_per_s,
			       int64_t now_us)
{
	if (bytes_per_s == s->bytes_per_s)
		return;
	s->bytes_per_s = bytes_per_s;
	s->saved_millibytes = 0;
	s->granted_us = now_us;
}

void bb_report_sender_heard(struct bb_report_sender *s, const char *host,
			    int64_t now_us)
{
	struct listener *l = g_hash_table_lookup(s->listeners, host);

	if (!l) {
		l = g_new0(struct listener, 1);
		l->host = g_strdup(host);
		/* Its WELCOME carries the present state. */
		l->told = s->last_change;
		g_hash_table_insert(s->listeners, l->host, l);
	}
	l->heard_us = now_us;
}

void bb_report_sender_forget(struct bb_report_sender *s, const char *host)
{
	g_hash_table_remove(s->listeners, host);
}

static enum state state_of(const struct bb_load *load)
{
	if (load->avoid_for_us > 0)
		return STATE_AVOID;
	return load->in_flight + load->queued >= load->slots ? STATE_FULL :
							       STATE_FREE;
}

static struct reported *get_reported(struct bb_report_sender *s,
				     const char *name)
{
	struct reported *r = g_hash_table_lookup(s->backends, name);

	if (r)
		return r;
	r = g_new0(struct reported, 1);
	r->name = g_strdup(name);
	g_hash_table_insert(s->backends, r->name, r);
	return r;
}

static void change_state(struct bb_report_sender *s, struct reported *r,
			 enum state state, bool tell)
{
	r->state = state;
	r->other_us = 0;
	if (tell)
		r->change = ++s->last_change;
}

void bb_report_sender_observe(struct bb_report_sender *s,
			      const struct bb_backend_report *report,
			      int64_t now_us)
{
	char name[BB_NAME_MAX + 1];
	struct reported *r;
	enum state state;

	if (!s->bytes_per_s || !copy_name(&report->backend, name))
		return;
	r = get_reported(s, name);
	r->report = *report;
	r->report.backend = (struct bb_bytes){ r->name, strlen(r->name) };
	r->observed_us = now_us;
	state = state_of(&report->load);
	if (state == STATE_AVOID) {
		if (r->hint_until_us - now_us > HINT_ENDS_US)
			return;
		r->hint_until_us = now_us + report->load.avoid_for_us;
		change_state(s, r, state, true);
		return;
	}
	if (r->state == STATE_AVOID) {
		/* A hint ends by itself; only an earlier end is told. */
		bool early = r->hint_until_us - now_us > HINT_ENDS_US;

		r->hint_until_us = 0;
		change_state(s, r, state, early);
		return;
	}
	if (state == r->state) {
		r->other_us = 0;
		return;
	}
	if (!r->other_us)
		r->other_us = now_us;
	if (now_us - r->other_us >= STEADY_US)
		change_state(s, r, state, true);
}

void bb_report_sender_configure(struct bb_report_sender *s,
				const struct bb_config *c)
{
	g_hash_table_foreach_remove(s->backends, is_not_configured,
				    (gpointer)c);
}

/* Size of a number that is not negative in MessagePack. */
static size_t number_bytes(uint64_t n)
{
	if (n < 128)
		return 1;
	if (n <= UINT8_MAX)
		return 2;
	if (n <= UINT16_MAX)
		return 3;
	return n <= UINT32_MAX ? 5 : 9;
}

static size_t report_bytes(const struct bb_backend_report *r)
{
	return REPORT_BYTES + r->backend.size + number_bytes(r->started_ms) +
	       number_bytes(r->load.in_flight) + number_bytes(r->load.queued) +
	       number_bytes(r->load.slots) +
	       number_bytes((uint64_t)r->load.avoid_for_us) +
	       number_bytes((uint64_t)r->load.work_us) +
	       number_bytes(r->load.speed_permille);
}

size_t bb_report_message_bytes(const struct bb_backend_report *reports,
			       size_t nr)
{
	size_t bytes = MESSAGE_BYTES;

	for (size_t i = 0; i < nr; i++)
		bytes += report_bytes(&reports[i]);
	return bytes;
}

static void grant_budget(struct bb_report_sender *s, int64_t now_us)
{
	int64_t passed_ms = (now_us - s->granted_us) / BB_US_PER_MS;
	int64_t max_ms = SAVED_US / BB_US_PER_MS;

	if (passed_ms <= 0)
		return;
	s->granted_us += passed_ms * BB_US_PER_MS;
	s->saved_millibytes += MIN(passed_ms, max_ms) * s->bytes_per_s;
	s->saved_millibytes =
		MIN(s->saved_millibytes, max_ms * (int64_t)s->bytes_per_s);
}

/* Listener to be told next: the one that sent a message most recently. */
static struct listener *next_listener(struct bb_report_sender *s,
				      int64_t now_us)
{
	struct listener *best = NULL;
	GHashTableIter i;
	gpointer value;

	g_hash_table_iter_init(&i, s->listeners);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		struct listener *l = value;

		if (now_us - l->heard_us >= BB_REPORT_LISTENER_US) {
			g_hash_table_iter_remove(&i);
			continue;
		}
		if (l->told != s->last_change &&
		    (!best || l->heard_us > best->heard_us))
			best = l;
	}
	return best;
}

/* The backend server whose last change is the first one after @change. */
static const struct reported *next_change(const struct bb_report_sender *s,
					  uint64_t change)
{
	const struct reported *first = NULL;
	GHashTableIter i;
	gpointer value;

	g_hash_table_iter_init(&i, s->backends);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		const struct reported *r = value;

		if (r->change > change && (!first || r->change < first->change))
			first = r;
	}
	return first;
}

/*
 * Fills in what a listener has not been told, as it is now and as far as there
 * is room and budget.
 */
static size_t collect_reports(const struct bb_report_sender *s,
			      struct listener *l,
			      struct bb_backend_report *reports, size_t max,
			      int64_t now_us)
{
	size_t left = (size_t)(s->saved_millibytes / 1000) - MESSAGE_BYTES;
	const struct reported *r;
	size_t nr = 0;

	while ((r = next_change(s, l->told))) {
		struct bb_backend_report now = r->report;
		size_t bytes;

		now.load.avoid_for_us -= now_us - r->observed_us;
		now.load.avoid_for_us = MAX(0, now.load.avoid_for_us);
		bytes = report_bytes(&now);
		if (nr == max || bytes > left)
			return nr;
		left -= bytes;
		reports[nr++] = now;
		l->told = r->change;
	}
	l->told = s->last_change;
	return nr;
}

const char *bb_report_sender_next(struct bb_report_sender *s,
				  struct bb_backend_report *reports, size_t max,
				  size_t *nr, int64_t now_us)
{
	struct listener *l;

	*nr = 0;
	if (!s->bytes_per_s)
		return NULL;
	grant_budget(s, now_us);
	while (s->saved_millibytes >= MESSAGE_BYTES * 1000) {
		l = next_listener(s, now_us);
		if (!l)
			return NULL;
		*nr = collect_reports(s, l, reports, max, now_us);
		if (*nr) {
			s->saved_millibytes -=
				(int64_t)bb_report_message_bytes(reports, *nr) *
				1000;
			return l->host;
		}
		/* The budget does not suffice for one report. */
		if (l->told != s->last_change)
			return NULL;
	}
	return NULL;
}

void bb_report_sender_delete(struct bb_report_sender *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->backends);
	g_hash_table_destroy(s->listeners);
	g_free(s);
}
