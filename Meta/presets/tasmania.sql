CREATE TABLE entries(entry TEXT PRIMARY KEY, maker TEXT, bottles INTEGER);
CREATE TABLE fees(entry TEXT, cents INTEGER);
CREATE TABLE intake(entry TEXT, steward TEXT, note TEXT);
CREATE INDEX intake_entry ON intake(entry);
CREATE TABLE scores(entry TEXT, judge TEXT, points INTEGER);
