#include "evidence.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "baobabward/clock.h"

/*
 * Probabilities by chance below which a finding is weak (calls for
 * confirmation) or strong (may lead to an ejection). At 100 outcomes a second
 * for a day, 10^-6 leaves few findings by chance even before the confirmation,
 * since the expected shares below are several times those of a healthy backend
 * server.
 */
#define WEAK_PROBABILITY 1e-3
#define STRONG_PROBABILITY 1e-6
/*
 * For a strong finding, the outcomes without the worst account's must have a
 * probability below this as well.
 */
#define OTHERS_PROBABILITY 1e-2
/* Expected share of failures: if the pool's is unknown; else base + factor. */
#define EXPECTED_ERRORS_UNKNOWN 0.05
#define EXPECTED_ERRORS_BASE 0.02
#define EXPECTED_ERRORS_FACTOR 1.5
/* One of this many latest outcomes must be bad, or it has recovered since. */
#define RECENT_OUTCOMES 8
/* Probability below which outcomes of a single account are a strong finding. */
#define SINGLE_ACCOUNT_PROBABILITY 1e-8
#define EXPECTED_ERRORS_MAX 0.95
/* Expected share of responses slower than the limit below. */
#define EXPECTED_SLOW 0.1
/*
 * Latency limit: median + 3 spreads of the pool, at least twice the median and
 * at least 5 ms above it. Avoiding a delay of less than 4 ms gains a caller
 * nothing: another backend server may be in another zone, a round trip of 3 ms
 * away, and need a new connection, which takes 1 ms. The rest allows for the
 * timer and the scheduler of a busy host.
 */
#define LIMIT_SPREAD_FACTOR 3.0
#define LIMIT_MEDIAN_FACTOR 2.0
#define LIMIT_MARGIN_MIN_US 5000.0
/*
 * Numbers of latest outcomes in the figures of a summary. The larger figure of
 * a short and a long run of outcomes is reported, so that a change for the
 * worse of the whole pool shows in the summaries at least as quickly as in the
 * evidence of one backend server.
 */
#define SUMMARY_SHORT_LATENCIES 3
#define SUMMARY_LONG_LATENCIES 8
#define SUMMARY_SHORT_ERRORS 8
#define SUMMARY_OUTCOMES_MAX 32

/* A change shows first in the latest outcomes, so these numbers are tested. */
static const unsigned int tested_counts[] = {
	4, 6, 8, 16, 32, BB_EVIDENCE_SIZE
};

bool bb_evidence_failed(enum bb_outcome_kind kind)
{
	return kind == BB_OUTCOME_ERROR || kind == BB_OUTCOME_CONNECT_FAILURE ||
	       kind == BB_OUTCOME_TIMEOUT || kind == BB_OUTCOME_TRUNCATED ||
	       kind == BB_OUTCOME_SILENT_CONNECTION;
}

void bb_evidence_add(struct bb_evidence *e, const struct bb_health_outcome *o,
		     int64_t now_us)
{
	struct bb_evidence_sample *s = &e->samples[e->next];

	s->at_us = now_us;
	s->latency_us = (uint32_t)CLAMP(o->latency_us, 0, UINT32_MAX);
	s->account = o->account;
	s->connection_ms =
		o->opened_us ?
			(uint32_t)CLAMP((now_us - o->opened_us) / BB_US_PER_MS,
					0, UINT32_MAX) :
			0;
	s->kind = (uint8_t)o->kind;
	s->new_connection = o->new_connection;
	s->discounted = s->cold_start = false;
	e->next = (e->next + 1) % BB_EVIDENCE_SIZE;
	e->nr = MIN(e->nr + 1, BB_EVIDENCE_SIZE);
}

/* The @i-th latest outcome. */
static const struct bb_evidence_sample *latest(const struct bb_evidence *e,
					       unsigned int i)
{
	return &e->samples[(e->next + BB_EVIDENCE_SIZE - 1 - i) %
			   BB_EVIDENCE_SIZE];
}

unsigned int bb_evidence_discount(struct bb_evidence *e, int64_t until_us)
{
	unsigned int discounted = 0;

	for (unsigned int i = 0; i < e->nr; i++) {
		struct bb_evidence_sample *s = &e->samples[i];

		if (s->new_connection || s->at_us - s->latency_us > until_us ||
		    (s->kind != BB_OUTCOME_SILENT_CONNECTION &&
		     s->kind != BB_OUTCOME_TIMEOUT))
			continue;
		s->discounted = true;
		discounted++;
	}
	return discounted;
}

void bb_evidence_mark_cold_start(struct bb_evidence *e)
{
	e->samples[(e->next + BB_EVIDENCE_SIZE - 1) % BB_EVIDENCE_SIZE]
		.cold_start = true;
}

void bb_evidence_clear_cold_start(struct bb_evidence *e)
{
	for (unsigned int i = 0; i < e->nr; i++)
		e->samples[i].cold_start = false;
}

bool bb_evidence_has_older_connection(const struct bb_evidence *e,
				      int64_t opened_us, int64_t since_us)
{
	for (unsigned int i = 0; i < e->nr; i++) {
		const struct bb_evidence_sample *s = &e->samples[i];

		if (s->connection_ms && !bb_evidence_failed(s->kind) &&
		    s->at_us >= since_us &&
		    s->at_us - s->connection_ms * BB_US_PER_MS <= opened_us)
			return true;
	}
	return false;
}

double bb_binomial_tail(unsigned int bad, unsigned int nr, double share)
{
	double term, sum;
	int sign;

	if (!bad)
		return 1;
	if (bad > nr)
		return 0;
	term = exp(lgamma_r(nr + 1.0, &sign) - lgamma_r(bad + 1.0, &sign) -
		   lgamma_r(nr - bad + 1.0, &sign) + bad * log(share) +
		   (nr - bad) * log1p(-share));
	sum = term;
	for (unsigned int i = bad; i < nr; i++) {
		term *= (double)(nr - i) / (i + 1) * share / (1 - share);
		sum += term;
	}
	return MIN(sum, 1);
}

double bb_evidence_slow_limit_us(const struct bb_evidence_reference *r)
{
	double limit = r->median_us + LIMIT_SPREAD_FACTOR * r->spread_us;

	limit = MAX(limit, r->median_us * LIMIT_MEDIAN_FACTOR);
	return MAX(limit, r->median_us + LIMIT_MARGIN_MIN_US);
}

/*
 * Outcomes used in one test, latest first. @not_dead_connection: a dead
 * connection cannot explain the outcome.
 */
struct test_samples {
	uint32_t accounts[BB_EVIDENCE_SIZE];
	bool bad[BB_EVIDENCE_SIZE];
	bool not_dead_connection[BB_EVIDENCE_SIZE];
	int64_t at_us[BB_EVIDENCE_SIZE];
	unsigned int nr;
};

static void collect(const struct bb_evidence *e, int64_t since_us,
		    double limit_us, struct test_samples *t)
{
	t->nr = 0;
	for (unsigned int i = 0; i < e->nr; i++) {
		const struct bb_evidence_sample *s = latest(e, i);

		if (s->at_us < since_us)
			break;
		if (s->discounted || s->kind == BB_OUTCOME_SHED)
			continue;
		/* Only complete responses and timeouts have a latency. */
		if (limit_us > 0 &&
		    (s->cold_start || (bb_evidence_failed(s->kind) &&
				       s->kind != BB_OUTCOME_TIMEOUT)))
			continue;
		t->accounts[t->nr] = s->account;
		t->bad[t->nr] = limit_us > 0 ? s->latency_us > limit_us :
					       bb_evidence_failed(s->kind);
		/* An old connection without any data may itself be dead. */
		t->not_dead_connection[t->nr] =
			s->new_connection ||
			(s->kind != BB_OUTCOME_SILENT_CONNECTION &&
			 s->kind != BB_OUTCOME_TIMEOUT);
		t->at_us[t->nr] = s->at_us;
		t->nr++;
	}
}

/* Merges @t into @out, both latest first, until @out is full. */
static void merge(const struct test_samples *t, struct test_samples *out)
{
	struct test_samples a;
	unsigned int i = 0, j = 0;

	if (!out->nr) {
		*out = *t;
		return;
	}
	a = *out;
	for (out->nr = 0; out->nr < BB_EVIDENCE_SIZE; out->nr++) {
		const struct test_samples *from = t;
		unsigned int k;

		if (i < a.nr && (j == t->nr || a.at_us[i] >= t->at_us[j]))
			from = &a;
		else if (j == t->nr)
			break;
		k = from == t ? j++ : i++;
		out->accounts[out->nr] = from->accounts[k];
		out->bad[out->nr] = from->bad[k];
		out->not_dead_connection[out->nr] =
			from->not_dead_connection[k];
		out->at_us[out->nr] = from->at_us[k];
	}
}

/* The account with the most bad outcomes among the first @nr. */
static uint32_t worst_account(const struct test_samples *t, unsigned int nr)
{
	uint32_t worst = BB_HEALTH_NO_ACCOUNT;
	unsigned int most = 0;

	for (unsigned int i = 0; i < nr; i++) {
		unsigned int bad = 0;

		if (!t->bad[i] || t->accounts[i] == worst ||
		    t->accounts[i] == BB_HEALTH_NO_ACCOUNT)
			continue;
		for (unsigned int j = i; j < nr; j++)
			bad += t->bad[j] && t->accounts[j] == t->accounts[i];
		if (bad > most) {
			most = bad;
			worst = t->accounts[i];
		}
	}
	return worst;
}

/*
 * Level of the finding in the latest @nr outcomes. The account with most of the
 * bad outcomes is left out, so that one account's requests cannot eject a
 * backend server on their own. With @allow_single_account, one account is
 * enough if there are outcomes of no other.
 */
static enum bb_evidence_level
test_latest(const struct test_samples *t, unsigned int nr, double expected,
	    bool allow_single_account, unsigned int *bad, double *probability)
{
	unsigned int others = 0, others_bad = 0, recent = 0;
	uint32_t worst;
	double all, rest;

	*bad = 0;
	*probability = 1;
	for (unsigned int i = 0; i < nr; i++)
		*bad += t->bad[i];
	for (unsigned int i = 0; i < MIN(nr, RECENT_OUTCOMES); i++)
		recent += t->bad[i];
	if (*bad < 2 || !recent)
		return BB_EVIDENCE_NONE;
	all = *probability = bb_binomial_tail(*bad, nr, expected);
	if (all > WEAK_PROBABILITY)
		return BB_EVIDENCE_NONE;
	worst = worst_account(t, nr);
	for (unsigned int i = 0; i < nr; i++) {
		if (worst != BB_HEALTH_NO_ACCOUNT && t->accounts[i] == worst)
			continue;
		others++;
		others_bad += t->bad[i];
	}
	/* The pool gets this account's requests as well and is not affected. */
	if (allow_single_account && !others && all < SINGLE_ACCOUNT_PROBABILITY)
		return BB_EVIDENCE_STRONG;
	rest = bb_binomial_tail(others_bad, others, expected);
	if (all < STRONG_PROBABILITY && rest < OTHERS_PROBABILITY &&
	    others_bad >= 2)
		return BB_EVIDENCE_STRONG;
	return BB_EVIDENCE_WEAK;
}

static int64_t latest_bad_us(const struct test_samples *t)
{
	for (unsigned int i = 0; i < t->nr; i++)
		if (t->bad[i])
			return t->at_us[i];
	return 0;
}

/* Tests each of tested_counts and keeps the strongest finding in @out. */
static void test_all(const struct test_samples *t, double expected,
		     bool allow_single_account, double limit_us,
		     struct bb_evidence_result *out)
{
	out->bad_us = MAX(out->bad_us, latest_bad_us(t));
	for (unsigned int i = 0; i < G_N_ELEMENTS(tested_counts); i++) {
		unsigned int nr = MIN(tested_counts[i], t->nr), bad;
		double probability;
		enum bb_evidence_level level = test_latest(t, nr, expected,
							   allow_single_account,
							   &bad, &probability);

		if (limit_us > 0)
			out->slow_probability =
				MIN(out->slow_probability, probability);
		if (level > out->level) {
			out->level = level;
			out->slow = limit_us > 0;
			out->bad = bad;
			out->nr = nr;
			out->expected = expected;
			out->limit_us = limit_us;
			out->dead_connection_excluded = false;
			for (unsigned int j = 0; j < nr; j++) {
				if (!t->bad[j])
					continue;
				out->dead_connection_excluded |=
					t->not_dead_connection[j];
				out->since_us = t->at_us[j];
			}
		}
		if (nr == t->nr)
			break;
	}
}

void bb_evidence_judge(const struct bb_evidence *e,
		       const struct bb_evidence_reference *r, int64_t since_us,
		       int64_t latency_since_us, struct bb_evidence_result *out)
{
	bb_evidence_judge_merged(e, r, 1, since_us, latency_since_us, out);
}

static double expected_errors(const struct bb_evidence_reference *r)
{
	if (!r->members)
		return EXPECTED_ERRORS_UNKNOWN;
	return MIN(EXPECTED_ERRORS_BASE +
			   EXPECTED_ERRORS_FACTOR * r->error_share,
		   EXPECTED_ERRORS_MAX);
}

void bb_evidence_judge_merged(const struct bb_evidence *e,
			      const struct bb_evidence_reference *r,
			      unsigned int nr, int64_t since_us,
			      int64_t latency_since_us,
			      struct bb_evidence_result *out)
{
	struct test_samples failures = { .nr = 0 }, latencies = { .nr = 0 }, t;
	double expected = 0, limit_us = 0;
	bool allow_single_account = true;

	*out = (struct bb_evidence_result){ .level = BB_EVIDENCE_NONE,
					    .slow_probability = 1 };
	for (unsigned int i = 0; i < nr; i++) {
		if (!e[i].nr)
			continue;
		expected = MAX(expected, expected_errors(&r[i]));
		allow_single_account &= r[i].members >= 2;
		collect(&e[i], since_us, 0, &t);
		merge(&t, &failures);
	}
	test_all(&failures, expected, allow_single_account, 0, out);
	if (out->level == BB_EVIDENCE_STRONG)
		return;
	for (unsigned int i = 0; i < nr; i++) {
		if (!e[i].nr || !r[i].latency_known)
			continue;
		limit_us = MAX(limit_us, bb_evidence_slow_limit_us(&r[i]));
		collect(&e[i], MAX(since_us, latency_since_us),
			bb_evidence_slow_limit_us(&r[i]), &t);
		merge(&t, &latencies);
	}
	if (limit_us > 0)
		test_all(&latencies, EXPECTED_SLOW, allow_single_account,
			 limit_us, out);
}

static int compare(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static uint32_t quantile(const uint32_t *values, unsigned int nr,
			 unsigned int percent)
{
	uint32_t sorted[SUMMARY_OUTCOMES_MAX];

	if (!nr)
		return 0;
	memcpy(sorted, values, nr * sizeof(*sorted));
	qsort(sorted, nr, sizeof(*sorted), compare);
	return sorted[(nr - 1) * percent / 100];
}

void bb_evidence_summary(const struct bb_evidence *e, int64_t since_us,
			 int64_t now_us, struct bb_pool_summary *out)
{
	uint32_t latencies[SUMMARY_OUTCOMES_MAX], long_median, short_median;
	unsigned int nr = 0, failed = 0, failed_short = 0, all = 0;

	for (unsigned int i = 0; i < e->nr && all < SUMMARY_OUTCOMES_MAX; i++) {
		const struct bb_evidence_sample *s = latest(e, i);
		bool bad = bb_evidence_failed(s->kind);

		if (s->at_us < since_us)
			break;
		if (s->discounted || s->kind == BB_OUTCOME_SHED)
			continue;
		all++;
		failed += bad;
		failed_short += bad && all <= SUMMARY_SHORT_ERRORS;
		if (!bad || s->kind == BB_OUTCOME_TIMEOUT)
			latencies[nr++] = s->latency_us;
		if (nr <= SUMMARY_SHORT_LATENCIES)
			out->recent_age_ms = (uint32_t)CLAMP(
				(now_us - s->at_us) / BB_US_PER_MS, 0,
				UINT32_MAX);
	}
	out->samples = all;
	out->error_permille = all ? 1000 * failed / all : 0;
	if (all >= SUMMARY_SHORT_ERRORS)
		out->error_permille =
			MAX(out->error_permille,
			    1000 * failed_short / SUMMARY_SHORT_ERRORS);
	long_median = quantile(latencies, MIN(nr, SUMMARY_LONG_LATENCIES), 50);
	short_median =
		quantile(latencies, MIN(nr, SUMMARY_SHORT_LATENCIES), 50);
	out->median_us = MAX(long_median, short_median);
	out->spread_us =
		quantile(latencies, nr, 84) - quantile(latencies, nr, 50);
}

uint32_t bb_evidence_merged_error_permille(const struct bb_evidence *e,
					   unsigned int nr, int64_t since_us)
{
	struct test_samples all = { .nr = 0 }, t;
	unsigned int failed = 0;

	for (unsigned int i = 0; i < nr; i++) {
		collect(&e[i], since_us, 0, &t);
		merge(&t, &all);
	}
	if (all.nr < SUMMARY_SHORT_ERRORS)
		return 0;
	for (unsigned int i = 0; i < SUMMARY_SHORT_ERRORS; i++)
		failed += all.bad[i];
	return 1000 * failed / SUMMARY_SHORT_ERRORS;
}
