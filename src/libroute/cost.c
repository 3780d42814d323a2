#include "baobabward/cost.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "baobabward/clock.h"

/* Upper end of the first bucket. */
#define BUCKET_MIN_US 1000.0
/* Largest weight of a distribution: older samples fade by 1/32 for each new
 * one. A mean over that many has an error of 14% with a spread of 0.8. */
#define WEIGHT_MAX 32.0
/* Time after which samples have half of their weight, so that a kind that has
 * become rare returns to its coarser one. */
#define HALF_LIFE_US (60 * BB_US_PER_S)
/* Samples of a coarser level that a level starts with. */
#define PRIOR_WEIGHT 4.0
/* A sample counts with at most this multiple of the mean, so that one wrong time
 * raises a mean by half; a kind that has really become more expensive is followed
 * within some requests. */
#define SAMPLE_MAX_FACTOR 16.0
/* Weight from which the mean bounds samples. */
#define BOUND_MIN_WEIGHT 4.0
/* Share of the age of a request beyond all samples that it is expected to last
 * again. */
#define BEYOND_SHARE 0.25
/* Quantile that counts as the tail. */
#define TAIL_QUANTILE 0.9
#define DEFAULT_MAX_KINDS 2048
/* Weight of a new sample in the mean size of responses and the mean speed. */
#define MEAN_GAIN (1 / 32.0)

/* Expected time in the unit of bb_server_cost.shape. */
#define SHAPE_UNIT_US (100 * BB_US_PER_MS)
/* Requests over which a speed is measured. One backend server runs about 10
 * requests/s, so that a change shows within 2 s. */
#define SPEED_REQUESTS 16
/* Requests of the expected time that a speed starts with, so that one slow
 * request does not make a slow server. */
#define SPEED_PRIOR_REQUESTS 4
/* Time after which the measured speed has half of its weight. */
#define SPEED_HALF_LIFE_US (10 * BB_US_PER_S)
/* One request counts in the speed with at most this multiple of its expected
 * time: 1% of the requests take five times as long on a sound server. */
#define TOOK_MAX_FACTOR 4.0

enum level {
	LEVEL_SERVICE,
	LEVEL_ROUTE,
	LEVEL_SIZE,
	LEVEL_ACCOUNT,
	LEVEL_COUNT
};

/**
 * struct kind - distribution of one kind at one level.
 * @key: hash of what it consists of
 * @dist: distribution of its cost
 * @response_bytes: mean size of the responses
 * @responses: number of responses, up to 32
 * @speed: mean speed of the backend servers in thousandths, 0 if unknown; of
 *         services only
 * @link: place in the order of use
 */
struct kind {
	uint64_t key;
	struct bb_cost_dist dist;
	double response_bytes;
	double responses;
	double speed;
	GList link;
};

/**
 * struct bb_cost - model.
 * @kinds: struct kind by key
 * @used: the same, the least recently used one first
 */
struct bb_cost {
	GHashTable *kinds;
	GQueue used;
	size_t max_kinds;
};

static size_t bucket_of(double us)
{
	double x = us <= BUCKET_MIN_US ? 0 : 2 * log2(us / BUCKET_MIN_US);

	return MIN((size_t)ceil(x), BB_COST_BUCKETS - 1);
}

static double bucket_end_us(size_t i)
{
	return BUCKET_MIN_US * exp2((double)i / 2);
}

/* Time for which all samples of a bucket stand: the middle of its two ends. */
static double bucket_middle_us(size_t i)
{
	return bucket_end_us(i) * (1 + M_SQRT1_2) / 2;
}

static void scale(struct bb_cost_dist *d, double factor)
{
	for (size_t i = 0; i < BB_COST_BUCKETS; i++)
		d->weight[i] = (float)(d->weight[i] * factor);
	d->total *= factor;
	d->sum_us *= factor;
}

void bb_cost_dist_add(struct bb_cost_dist *d, int64_t us, int64_t now_us)
{
	double idle = d->total > 0 ? fmax((double)(now_us - d->updated_us), 0) :
				     0;

	us = CLAMP(us, 0, (int64_t)bucket_end_us(BB_COST_BUCKETS - 1));
	scale(d, exp2(-idle / HALF_LIFE_US));
	if (d->total >= BOUND_MIN_WEIGHT)
		us = MIN(us,
			 (int64_t)(d->sum_us / d->total * SAMPLE_MAX_FACTOR));
	if (d->total > WEIGHT_MAX - 1)
		scale(d, (WEIGHT_MAX - 1) / d->total);
	d->weight[bucket_of((double)us)] += 1;
	d->total += 1;
	d->sum_us += (double)us;
	d->updated_us = now_us;
}

int64_t bb_cost_dist_mean_us(const struct bb_cost_dist *d)
{
	return d->total > 0 ? (int64_t)(d->sum_us / d->total) : 0;
}

int64_t bb_cost_dist_quantile_us(const struct bb_cost_dist *d, double p)
{
	double total = 0;
	double seen = 0;

	for (size_t i = 0; i < BB_COST_BUCKETS; i++)
		total += d->weight[i];
	if (!(total > 0))
		return 0;
	for (size_t i = 0; i < BB_COST_BUCKETS; i++) {
		seen += d->weight[i];
		if (seen >= total * p)
			return (int64_t)bucket_end_us(i);
	}
	return (int64_t)bucket_end_us(BB_COST_BUCKETS - 1);
}

int64_t bb_cost_dist_remaining_us(const struct bb_cost_dist *d, int64_t age_us)
{
	double age = (double)MAX(age_us, 0);
	double weight = 0;
	double sum = 0;

	if (!(d->total > 0))
		return 0;
	for (size_t i = 0; i < BB_COST_BUCKETS; i++) {
		double middle = bucket_middle_us(i);

		if (middle <= age)
			continue;
		weight += d->weight[i];
		sum += d->weight[i] * (middle - age);
	}
	/* A few hundredths of a sample are left of what has long changed. */
	if (weight < 0.05)
		return (int64_t)(age * BEYOND_SHARE);
	return (int64_t)(sum / weight);
}

static unsigned int size_class(size_t bytes)
{
	unsigned int bits = 0;

	for (; bytes; bytes >>= 2)
		bits++;
	return bits;
}

static uint64_t add_key(uint64_t key, const struct bb_bytes *x)
{
	return XXH3_64bits_withSeed(x->data ? x->data : "", x->size, key);
}

static void make_keys(const struct bb_cost_kind *k, uint64_t keys[LEVEL_COUNT])
{
	keys[LEVEL_SERVICE] = add_key(LEVEL_SERVICE, &k->service);
	keys[LEVEL_ROUTE] =
		add_key(add_key(keys[LEVEL_SERVICE] + LEVEL_ROUTE, &k->route),
			&k->method);
	keys[LEVEL_SIZE] = keys[LEVEL_ROUTE] * 0x9e3779b97f4a7c15u +
			   LEVEL_SIZE +
			   ((uint64_t)size_class(k->body_bytes) << 8);
	keys[LEVEL_ACCOUNT] =
		add_key(keys[LEVEL_SIZE] + LEVEL_ACCOUNT, &k->account);
}

struct bb_cost *bb_cost_new(size_t max_kinds)
{
	struct bb_cost *c = g_new0(struct bb_cost, 1);

	c->kinds = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	g_queue_init(&c->used);
	c->max_kinds =
		MAX(max_kinds ? max_kinds : DEFAULT_MAX_KINDS, LEVEL_COUNT);
	return c;
}

void bb_cost_delete(struct bb_cost *c)
{
	if (!c)
		return;
	g_hash_table_destroy(c->kinds);
	g_free(c);
}

size_t bb_cost_kinds(const struct bb_cost *c)
{
	return g_hash_table_size(c->kinds);
}

static struct kind *find_kind(struct bb_cost *c, uint64_t key)
{
	struct kind *k = g_hash_table_lookup(c->kinds, &key);

	if (!k)
		return NULL;
	g_queue_unlink(&c->used, &k->link);
	g_queue_push_tail_link(&c->used, &k->link);
	return k;
}

static struct kind *get_kind(struct bb_cost *c, uint64_t key)
{
	struct kind *k = find_kind(c, key);

	if (k)
		return k;
	if (g_hash_table_size(c->kinds) >= c->max_kinds) {
		GList *oldest = g_queue_pop_head_link(&c->used);

		g_hash_table_remove(c->kinds,
				    &((struct kind *)oldest->data)->key);
	}
	k = g_new0(struct kind, 1);
	k->key = key;
	k->link.data = k;
	g_hash_table_insert(c->kinds, &k->key, k);
	g_queue_push_tail_link(&c->used, &k->link);
	return k;
}

/* Time that a sample would have taken on a backend server of mean speed. */
static int64_t scale_sample(struct kind *service,
			    const struct bb_cost_sample *s)
{
	double speed = s->speed_permille;
	int64_t took_us = CLAMP(s->service_us, 0,
				(int64_t)bucket_end_us(BB_COST_BUCKETS - 1));

	if (!s->speed_permille)
		return took_us;
	speed = CLAMP(speed, BB_SPEED_MIN_PERMILLE, BB_SPEED_MAX_PERMILLE);
	if (!(service->speed > 0))
		service->speed = speed;
	service->speed += MEAN_GAIN * (speed - service->speed);
	return (int64_t)((double)took_us * speed / service->speed);
}

static void learn_bytes(struct kind *k, uint64_t bytes)
{
	k->responses = fmin(k->responses + 1, 1 / MEAN_GAIN);
	k->response_bytes += ((double)bytes - k->response_bytes) / k->responses;
}

void bb_cost_learn(struct bb_cost *c, const struct bb_cost_kind *kind,
		   const struct bb_cost_sample *s, int64_t now_us)
{
	uint64_t keys[LEVEL_COUNT];
	int64_t cost_us = 0;

	make_keys(kind, keys);
	for (int i = LEVEL_SERVICE; i < LEVEL_COUNT; i++) {
		struct kind *k = get_kind(c, keys[i]);

		if (i == LEVEL_SERVICE)
			cost_us = scale_sample(k, s);
		if (cost_us > 0)
			bb_cost_dist_add(&k->dist, cost_us, now_us);
		learn_bytes(k, s->response_bytes);
	}
}

struct bb_cost_estimate bb_cost_expect(struct bb_cost *c,
				       const struct bb_cost_kind *kind)
{
	struct bb_cost_estimate e = { 0 };
	struct bb_cost_dist mix = { 0 };
	uint64_t keys[LEVEL_COUNT];
	double left = 1, bytes_left = 1;
	double mean = 0, bytes = 0;

	make_keys(kind, keys);
	for (int i = LEVEL_ACCOUNT; i >= LEVEL_SERVICE; i--) {
		const struct kind *k = find_kind(c, keys[i]);
		double prior = i == LEVEL_SERVICE ? 0 : PRIOR_WEIGHT;
		double share;

		if (!k)
			continue;
		if (k->dist.total > 0) {
			share = left * k->dist.total / (k->dist.total + prior);
			left -= share;
			mean += share * k->dist.sum_us / k->dist.total;
			for (size_t j = 0; j < BB_COST_BUCKETS; j++)
				mix.weight[j] +=
					(float)(share * k->dist.weight[j] /
						k->dist.total);
		}
		share = bytes_left * k->responses / (k->responses + prior);
		bytes_left -= share;
		bytes += share * k->response_bytes;
		if (i == LEVEL_SERVICE)
			e.service_mean_us = bb_cost_dist_mean_us(&k->dist);
	}
	e.response_bytes = (uint64_t)bytes;
	if (!e.service_mean_us)
		return e;
	e.mean_us = MAX(1, (int64_t)mean);
	e.tail_us =
		MAX(e.mean_us, bb_cost_dist_quantile_us(&mix, TAIL_QUANTILE));
	return e;
}

void bb_server_cost_finished(struct bb_server_cost *s, int64_t cost_us,
			     int64_t took_us, int64_t now_us)
{
	double keep = 1 - 1.0 / SPEED_REQUESTS;
	double cost = (double)cost_us;
	double took = (double)MAX(took_us, 0);
	double local = cost * 1000 / bb_server_cost_speed(s, now_us);
	double idle = fmax((double)(now_us - s->updated_us), 0);

	if (cost_us <= 0)
		return;
	bb_cost_dist_add(&s->shape, (int64_t)(took / local * SHAPE_UNIT_US),
			 now_us);
	if (s->updated_us)
		keep *= exp2(-idle / SPEED_HALF_LIFE_US);
	s->expected_us = s->expected_us * keep + cost;
	s->took_us = s->took_us * keep + fmin(took, cost * TOOK_MAX_FACTOR);
	s->requests = s->requests * keep + 1;
	s->updated_us = now_us;
}

uint32_t bb_server_cost_speed(const struct bb_server_cost *s, int64_t now_us)
{
	double idle = fmax((double)(now_us - s->updated_us), 0);
	double keep = exp2(-idle / SPEED_HALF_LIFE_US);
	double prior, speed;

	if (!(s->requests > 0))
		return 1000;
	prior = s->expected_us / s->requests * SPEED_PRIOR_REQUESTS;
	speed = (s->expected_us * keep + prior) /
		fmax(s->took_us * keep + prior, 1);
	return (uint32_t)CLAMP(speed * 1000, BB_SPEED_MIN_PERMILLE,
			       BB_SPEED_MAX_PERMILLE);
}

int64_t bb_server_cost_remaining_us(const struct bb_server_cost *s,
				    int64_t cost_us, int64_t age_us,
				    int64_t now_us)
{
	double local = (double)cost_us * 1000 / bb_server_cost_speed(s, now_us);
	double age;

	if (cost_us <= 0)
		return 0;
	if (age_us < 0)
		return (int64_t)local;
	if (!(s->shape.total > 0))
		return (int64_t)fmax(local - (double)age_us,
				     local * BEYOND_SHARE);
	age = (double)age_us / local * SHAPE_UNIT_US;
	return (int64_t)((double)bb_cost_dist_remaining_us(&s->shape,
							   (int64_t)age) *
			 local / SHAPE_UNIT_US);
}
