CREATE TABLE floor_plans(home TEXT PRIMARY KEY, plan TEXT, revision INTEGER);
CREATE TABLE bookings(crew TEXT, day TEXT, home TEXT);
CREATE INDEX bookings_crew ON bookings(crew, day);
CREATE TABLE inventory(home TEXT, item TEXT, keep INTEGER);
CREATE INDEX inventory_home ON inventory(home);
